package entry

import (
	"errors"
	"net/netip"

	"acaciawinch/entry/clean"
	"acaciawinch/entry/place"
	"acaciawinch/entry/route"
	"acaciawinch/feed"
	"acaciawinch/settings"
)

// Settings are the entry's TOML settings. Every field that is not marked required has a
// default.
type Settings struct {
	Process   ProcessSettings  `toml:"process"`
	Listen    ListenSettings   `toml:"listen"`
	Platform  PlatformSettings `toml:"platform"`
	Fleet     FleetSettings    `toml:"fleet"`
	Limits    LimitSettings    `toml:"limits"`
	Routing   RoutingSettings  `toml:"routing"`
	Feed      FeedSettings     `toml:"feed"`
	Placement place.Settings   `toml:"placement"`
	Retention clean.Settings   `toml:"retention"`
}

// ProcessSettings are the identity and the location of this process.
type ProcessSettings struct {
	// Name is the entry's name in the host list.
	Name   string `toml:"name" required:"true"`
	Zone   string `toml:"zone" required:"true"`
	Region string `toml:"region"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `toml:"log_level"`
	// MemoryMB is the memory in MB that the process may use.
	MemoryMB int `toml:"memory_mb"`
}

// ListenSettings are the IP:port addresses of the three listeners.
type ListenSettings struct {
	// Callers is the address of the HTTP API for callers.
	Callers string `toml:"callers" required:"true"`
	// Fleet is the address of drpc for the other processes of the fleet.
	Fleet string `toml:"fleet"`
	// Admin is the address of health checks, metrics and request traces for operators.
	Admin string `toml:"admin" required:"true"`
}

// PlatformSettings are the base URLs of the platform's services.
type PlatformSettings struct {
	Objects string `toml:"objects" required:"true"`
	Hosts   string `toml:"hosts" required:"true"`
}

// FleetSettings are the same for all processes of one fleet.
type FleetSettings struct {
	// Key is the shared secret with which processes authenticate their connections.
	Key string `toml:"key" required:"true"`
}

// LimitSettings bound the requests and connections of the entry.
type LimitSettings struct {
	// BodyBytes bounds the body of a request, HeaderBytes the total size of its headers.
	BodyBytes   int `toml:"body_bytes"`
	HeaderBytes int `toml:"header_bytes"`
	// Connections bounds the open connections of callers.
	Connections int `toml:"connections"`
	// InFlight bounds the requests in flight, Streams those among them whose responses
	// are server-sent events.
	InFlight int `toml:"in_flight"`
	Streams  int `toml:"streams"`
	// Traces is the number of requests whose traces are kept for /v1/explain.
	Traces int `toml:"traces"`
	// DrainSeconds is the maximum time for which a planned stop waits for requests in
	// flight.
	DrainSeconds int `toml:"drain_seconds"`
}

// RoutingSettings configure the choice of upstreams, retries and hedges.
type RoutingSettings struct {
	// Policy and ProbeTimeoutMS are those of route.Settings.
	Policy         string `toml:"policy"`
	ProbeTimeoutMS int    `toml:"probe_timeout_ms"`
	// HedgePercent is the share of stage calls that may be hedged, and
	// RetryPercent the share that may be retried, in percent.
	HedgePercent float64 `toml:"hedge_percent"`
	RetryPercent float64 `toml:"retry_percent"`
}

// route returns the settings of the router.
func (s RoutingSettings) route() route.Settings {
	return route.Settings{Policy: s.Policy, ProbeTimeoutMS: s.ProbeTimeoutMS}
}

// Validate implements settings.Validator.
func (s RoutingSettings) Validate() error { return s.route().Validate() }

// FeedSettings configure the distribution of the fleet's state.
type FeedSettings struct {
	// RelaysPerZone is the number of entries in each zone that watch the platform.
	RelaysPerZone int `toml:"relays_per_zone"`
}

// Defaults and upper bounds of the settings.
const (
	defaultMemoryMB     = 1024
	defaultBodyBytes    = 1 << 20
	defaultHeaderBytes  = 16 << 10
	defaultConnections  = 4096
	defaultInFlight     = 1024
	defaultStreams      = 1024
	defaultTraces       = 2000
	defaultDrainSeconds = 30
	defaultHedgePercent = 2
	defaultRetryPercent = 10
	minMemoryMB         = 64
	maxBodyBytes        = 16 << 20
	maxHeaderBytes      = 1 << 20
	maxCount            = 1 << 20
)

// Defaults returns settings in which every optional field has its default.
func Defaults() Settings {
	return Settings{
		Process: ProcessSettings{LogLevel: "info", MemoryMB: defaultMemoryMB},
		Limits: LimitSettings{
			BodyBytes:    defaultBodyBytes,
			HeaderBytes:  defaultHeaderBytes,
			Connections:  defaultConnections,
			InFlight:     defaultInFlight,
			Streams:      defaultStreams,
			Traces:       defaultTraces,
			DrainSeconds: defaultDrainSeconds,
		},
		Routing: RoutingSettings{
			HedgePercent: defaultHedgePercent,
			RetryPercent: defaultRetryPercent,
		},
		Placement: place.DefaultSettings(),
		Retention: clean.DefaultSettings(),
		Feed:      FeedSettings{RelaysPerZone: feed.DefaultRelaysPerZone},
	}
}

// bound is the allowed range of one setting.
type bound struct {
	key      string
	value    int
	min, max int
}

// Validate implements settings.Validator.
func (s Settings) Validate() error {
	var problems []error
	bounds := []bound{
		{"process.memory_mb", s.Process.MemoryMB, minMemoryMB, maxCount},
		{"limits.body_bytes", s.Limits.BodyBytes, 1, maxBodyBytes},
		{"limits.header_bytes", s.Limits.HeaderBytes, 256, maxHeaderBytes},
		{"limits.connections", s.Limits.Connections, 1, maxCount},
		{"limits.in_flight", s.Limits.InFlight, 1, maxCount},
		{"limits.streams", s.Limits.Streams, 1, maxCount},
		{"limits.traces", s.Limits.Traces, 1, maxCount},
		{"limits.drain_seconds", s.Limits.DrainSeconds, 1, 3600},
		{"routing.hedge_percent", int(s.Routing.HedgePercent), 0, 100},
		{"routing.retry_percent", int(s.Routing.RetryPercent), 0, 100},
		{"feed.relays_per_zone", s.Feed.RelaysPerZone, 1, 100},
	}
	for _, b := range bounds {
		if b.value < b.min || b.value > b.max {
			problems = append(problems, settings.Invalid(b.key, "%d is not within %d to %d", b.value, b.min, b.max))
		}
	}
	addresses := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.fleet", s.Listen.Fleet},
		{"listen.admin", s.Listen.Admin},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			problems = append(problems, settings.Invalid(a.key, "%q is not IP:port", a.value))
		}
	}
	return errors.Join(problems...)
}
