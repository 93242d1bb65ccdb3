// Package gateway is the process that serves clients on the users' platform: it accepts
// requests, runs their stages in the stage pools and sends the requests to upstreams. All
// gateways are equal. What they must agree on is in the platform's store, and the queue of
// each part of a stage pool is owned by one of them.
package gateway

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"

	"acaciawinch/gateway/flow"
	"acaciawinch/gateway/view"
	"acaciawinch/settings"
)

// Settings are the settings of a gateway.
type Settings struct {
	Process ProcessSettings `toml:"process"`
	Listen  ListenSettings  `toml:"listen"`
	Store   StoreSettings   `toml:"store"`
	Bounds  BoundSettings   `toml:"bounds"`
	Fleet   FleetSettings   `toml:"fleet"`
	Load    LoadSettings    `toml:"load"`
	Log     LogSettings     `toml:"log"`
}

// ProcessSettings describe the process and the machine that it runs on.
type ProcessSettings struct {
	// Name is the name of the machine; it is unique among the gateways.
	Name string `toml:"name" required:"true"`
	// Zone is the availability zone of the machine.
	Zone string `toml:"zone" required:"true"`
	// Regions maps zones to regions: zone=region pairs, separated by commas. Upstreams in
	// zones that are not listed run no requests that are restricted to regions.
	Regions string `toml:"regions"`
	// MemoryMB is the memory in MB that the process may use.
	MemoryMB int `toml:"memory_mb" required:"true"`
	// Cores is the number of CPU cores that the process may use; 0 if unknown.
	Cores float64 `toml:"cores"`
	// LinkMbps is the rate of the machine's network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `toml:"link_mbps"`
}

// ListenSettings are the addresses, IP:port, that the process listens on.
type ListenSettings struct {
	Clients   string `toml:"clients" required:"true"`
	Readiness string `toml:"readiness" required:"true"`
	Fleet     string `toml:"fleet" required:"true"`
	Metrics   string `toml:"metrics" required:"true"`
}

// StoreSettings locate the platform's store.
type StoreSettings struct {
	Address string `toml:"address" required:"true"`
}

// BoundSettings are the time and rate bounds that the platform sets for gateways.
type BoundSettings struct {
	// RevokeMS is the time in ms after which a revoked API key must no longer work.
	RevokeMS int `toml:"revoke_ms" required:"true"`
	// ConfigApplyMS is the time in ms after which a change that the store has accepted must be
	// in force.
	ConfigApplyMS int `toml:"config_apply_ms"`
	// EvacuateMS is the time in ms after which a zone that the operator has evacuated must get
	// no new work; 0 if this deployment does not evacuate zones.
	EvacuateMS int `toml:"evacuate_ms"`
	// ColdOverrun and ColdSlack bound the requests that all gateways together send to a cold
	// upstream in any second: overrun × its configured rate + slack.
	ColdOverrun float64 `toml:"cold_overrun"`
	ColdSlack   float64 `toml:"cold_slack"`
	// GraceSeconds is the time in s that a planned shutdown may take.
	GraceSeconds float64 `toml:"grace_s" required:"true"`
	// RetryRatio and RetrySlack bound the retries that all gateways together send to a
	// service in a window: ratio × requests + slack.
	RetryRatio float64 `toml:"retry_ratio" required:"true"`
	RetrySlack float64 `toml:"retry_slack" required:"true"`
}

// FleetSettings are common to all processes of the fleet.
type FleetSettings struct {
	// Key is the shared secret with which the processes authenticate to each other.
	Key string `toml:"key" required:"true"`
	// FirstStart is set if the whole fleet starts for the first time, so that the other
	// gateways may come up a moment later than this one.
	FirstStart bool `toml:"first_start"`
}

// Modes of the decisions in LoadSettings.
const (
	// ModeAuto means that the configuration and the upstreams' reports decide whether a decision acts.
	ModeAuto = "auto"
	// ModeOff means that a decision never acts.
	ModeOff = "off"
)

// LoadSettings switch decisions under load. Each is ModeAuto or ModeOff.
type LoadSettings struct {
	// EnginePace leaves engines aside that would miss the objectives of a request.
	EnginePace string `toml:"engine_pace"`
	// LateWork keeps late tasks of pools for the capacity that is free after a burst.
	LateWork string `toml:"late_work"`
	// ReturnPlaces keeps the places of refused clients, and shares full pools between workspaces.
	ReturnPlaces string `toml:"return_places"`
	// RepeatSilent sends a request that may be repeated to another upstream if the first is silent.
	RepeatSilent string `toml:"repeat_silent"`
}

// Validate implements settings.Validator.
func (l *LoadSettings) Validate() error {
	return errors.Join(
		checkMode("engine_pace", l.EnginePace),
		checkMode("late_work", l.LateWork),
		checkMode("return_places", l.ReturnPlaces),
		checkMode("repeat_silent", l.RepeatSilent),
	)
}

// checkMode checks that a key's value is a mode.
func checkMode(key, value string) error {
	if value != ModeAuto && value != ModeOff {
		return settings.Invalid(key, "must be %s or %s, is %q", ModeAuto, ModeOff, value)
	}
	return nil
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Defaults returns the values of the keys that a settings file may leave out.
func Defaults() Settings {
	return Settings{Log: LogSettings{Level: "info"}, Load: LoadSettings{EnginePace: ModeAuto, LateWork: ModeAuto, ReturnPlaces: ModeAuto, RepeatSilent: ModeAuto}, Bounds: BoundSettings{ConfigApplyMS: defaultConfigApplyMS, ColdOverrun: defaultColdOverrun}}
}

// defaultConfigApplyMS is the shortest config_apply_ms of the known deployments.
const defaultConfigApplyMS = 2000

// defaultColdOverrun limits a cold upstream to its configured rate.
const defaultColdOverrun = 1

// Bounds of process.memory_mb. A Go process needs about 16 MB to run at all.
const (
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
)

// Validate implements settings.Validator.
func (p *ProcessSettings) Validate() error {
	if p.MemoryMB < minMemoryMB || p.MemoryMB > maxMemoryMB {
		return settings.Invalid("memory_mb", "must be from %d to %d", minMemoryMB, maxMemoryMB)
	}
	if _, err := p.regions(); err != nil {
		return err
	}
	if p.Cores < 0 {
		return settings.Invalid("cores", "must not be below 0")
	}
	if p.LinkMbps < 0 {
		return settings.Invalid("link_mbps", "must not be below 0")
	}
	return nil
}

// regions returns the region of each zone.
func (p *ProcessSettings) regions() (map[string]string, error) {
	byZone := make(map[string]string)
	if p.Regions == "" {
		return byZone, nil
	}
	for _, pair := range strings.Split(p.Regions, ",") {
		zone, region, found := strings.Cut(pair, "=")
		if !found || zone == "" || region == "" {
			return nil, settings.Invalid("regions", "must be zone=region pairs separated by commas, has %q", pair)
		}
		byZone[zone] = region
	}
	return byZone, nil
}

// Validate implements settings.Validator.
func (l *ListenSettings) Validate() error {
	return errors.Join(
		checkAddress("clients", l.Clients),
		checkAddress("readiness", l.Readiness),
		checkAddress("fleet", l.Fleet),
		checkAddress("metrics", l.Metrics),
	)
}

// Validate implements settings.Validator.
func (s *StoreSettings) Validate() error { return checkAddress("address", s.Address) }

// checkAddress checks that a key's value is IP:port.
func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return settings.Invalid(key, "must be IP:port, is %q", value)
	}
	return nil
}

// Validate implements settings.Validator.
func (l *LogSettings) Validate() error {
	if _, err := log.ParseLevel(l.Level); err != nil {
		return settings.Invalid("level", "must be debug, info, warn or error, is %q", l.Level)
	}
	return nil
}

// minApplyMS is the minimum of bounds.config_apply_ms and bounds.evacuate_ms: with less, followers
// could not check often enough whether their source still reads the store.
const minApplyMS = 200

// Validate implements settings.Validator.
func (b *BoundSettings) Validate() error {
	switch {
	case b.RevokeMS < 1:
		return settings.Invalid("revoke_ms", "must be at least 1")
	case b.ConfigApplyMS < minApplyMS:
		return settings.Invalid("config_apply_ms", "must be at least %d", minApplyMS)
	case b.EvacuateMS != 0 && b.EvacuateMS < minApplyMS:
		return settings.Invalid("evacuate_ms", "must be 0 or at least %d", minApplyMS)
	case b.ColdOverrun <= 0:
		return settings.Invalid("cold_overrun", "must be above 0")
	case b.ColdSlack < 0:
		return settings.Invalid("cold_slack", "must not be below 0")
	case b.GraceSeconds <= 0:
		return settings.Invalid("grace_s", "must be above 0")
	case b.RetryRatio < 0 || b.RetryRatio > 1:
		return settings.Invalid("retry_ratio", "must be from 0 to 1")
	case b.RetrySlack < 0:
		return settings.Invalid("retry_slack", "must not be below 0")
	}
	return nil
}

// confirmMargin is how much shorter than bounds.revoke_ms API keys are trusted without a new
// freshness proof. It covers the time from the check until an upstream starts the request, and
// clock error.
const confirmMargin = 500 * time.Millisecond

// confirmWithin returns for how long API keys are trusted without a new freshness proof.
func (b *BoundSettings) confirmWithin() time.Duration {
	return max(time.Duration(b.RevokeMS)*time.Millisecond-confirmMargin, confirmMargin)
}

// storeOptions returns the settings that concern the store.
func (s *Settings) storeOptions() view.StoreOptions {
	return view.StoreOptions{
		Store:         s.Store.Address,
		ConfirmWithin: s.Bounds.confirmWithin(),
		ApplyWithin:   s.Bounds.applyWithin(),
		Evacuations:   s.Bounds.EvacuateMS > 0,
	}
}

// applyWithin returns the time within which every change by the operator, of the configuration
// or of evacuated zones, must be in force.
func (b *BoundSettings) applyWithin() time.Duration {
	within := b.ConfigApplyMS
	if b.EvacuateMS > 0 {
		within = min(within, b.EvacuateMS)
	}
	return time.Duration(within) * time.Millisecond
}

// retries returns the settings that bound retries.
func (s *Settings) retries() flow.Retries {
	return flow.Retries{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack}
}
