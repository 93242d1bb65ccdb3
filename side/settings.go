package side

import (
	"errors"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/gate"
	"acaciawinch/settings"
)

// Settings are the TOML settings of a sidecar process.
type Settings struct {
	Process  ProcessSettings  `toml:"process"`
	Listen   ListenSettings   `toml:"listen"`
	Platform PlatformSettings `toml:"platform"`
	Fleet    FleetSettings    `toml:"fleet"`
	Upstream UpstreamSettings `toml:"upstream"`
	Queue    QueueSettings    `toml:"queue"`
	Results  ResultSettings   `toml:"results"`
}

// ProcessSettings identify the process and its location.
type ProcessSettings struct {
	Name     string `toml:"name" required:"true"`
	Zone     string `toml:"zone" required:"true"`
	Region   string `toml:"region"`
	LogLevel string `toml:"log_level"`
}

// ListenSettings are the addresses, IP:port, that the process listens on.
type ListenSettings struct {
	Fleet string `toml:"fleet" required:"true"`
	Admin string `toml:"admin" required:"true"`
}

// PlatformSettings are the base URLs of the platform's services.
type PlatformSettings struct {
	// Objects may be empty, since a sidecar receives the fleet's state from the entries.
	// Without the object API, a planned stop can't find recorded results by their claims.
	Objects string `toml:"objects"`
	Hosts   string `toml:"hosts" required:"true"`
}

// FleetSettings are shared by all processes of the fleet.
type FleetSettings struct {
	Key string `toml:"key" required:"true"`
}

// UpstreamSettings describe the upstream of the sidecar.
type UpstreamSettings struct {
	// Name is the upstream's name in the host list.
	Name    string           `toml:"name" required:"true"`
	Service string           `toml:"service" required:"true"`
	Kind    config.StageKind `toml:"kind" required:"true"`
	URL     string           `toml:"url" required:"true"`
	// Capacity is how many attempts the upstream runs concurrently; zero uses the
	// capacity that the upstream reports.
	Capacity int `toml:"capacity"`
}

// Queue disciplines.
const (
	// DisciplineFair is weighted fair queueing as described in package core/gate.
	DisciplineFair = "fair"
	// DisciplineFIFO serves attempts in order of arrival, with no bound on the queue
	// and no admission by deadline: a baseline for measurements.
	DisciplineFIFO = "fifo"
)

// QueueSettings bound the queue.
type QueueSettings struct {
	// Discipline is fair or fifo.
	Discipline string `toml:"discipline"`
	// MaxQueued bounds the waiting attempts.
	MaxQueued int `toml:"max_queued"`
	// MaxInputBytes bounds the input of one attempt.
	MaxInputBytes int `toml:"max_input_bytes"`
	// MaxOutputBytes bounds the output of one attempt.
	MaxOutputBytes int `toml:"max_output_bytes"`
}

// ResultSettings bound the state that is stored of finished attempts.
type ResultSettings struct {
	// KeepMS is how long the result of an idempotent attempt is stored while its
	// acknowledgement is outstanding, in milliseconds.
	KeepMS int `toml:"keep_ms"`
	// KeepClaimedMS is the same for a claimed attempt. It must exceed the ticket
	// lifetime.
	KeepClaimedMS int `toml:"keep_claimed_ms"`
	// MaxClaimed bounds the claimed attempts and tombstones that are stored.
	MaxClaimed int `toml:"max_claimed"`
	// GraceMS is how long an attempt continues without a subscriber, in milliseconds.
	GraceMS int `toml:"grace_ms"`
	// StopMS bounds the duration of a planned stop, in milliseconds.
	StopMS int `toml:"stop_ms"`
}

// Default values of the settings.
const (
	defaultLogLevel      = "info"
	defaultMaxQueued     = 256
	defaultMaxInputBytes = 1 << 20
	defaultMaxOutput     = 4 << 20
	defaultKeep          = 10 * time.Second
	defaultKeepClaimed   = 10 * time.Minute
	defaultMaxClaimed    = 20_000
	defaultGrace         = 2 * time.Second
	defaultStop          = 20 * time.Second
)

// Defaults returns settings in which every optional value has its default.
func Defaults() Settings {
	return Settings{
		Process: ProcessSettings{LogLevel: defaultLogLevel},
		Queue: QueueSettings{
			Discipline:     DisciplineFair,
			MaxQueued:      defaultMaxQueued,
			MaxInputBytes:  defaultMaxInputBytes,
			MaxOutputBytes: defaultMaxOutput,
		},
		Results: ResultSettings{
			KeepMS:        int(defaultKeep / time.Millisecond),
			KeepClaimedMS: int(defaultKeepClaimed / time.Millisecond),
			MaxClaimed:    defaultMaxClaimed,
			GraceMS:       int(defaultGrace / time.Millisecond),
			StopMS:        int(defaultStop / time.Millisecond),
		},
	}
}

// Upper bounds of the settings.
const (
	maxCapacity     = 100_000
	maxQueuedLimit  = 100_000
	maxBytesLimit   = 64 << 20
	maxKeepMS       = 86_400_000
	maxClaimedLimit = 10_000_000
	maxGraceMS      = 600_000
	maxStopMS       = 3_600_000
)

// Validate implements settings.Validator.
func (s ListenSettings) Validate() error {
	return errors.Join(checkAddr("fleet", s.Fleet), checkAddr("admin", s.Admin))
}

// Validate implements settings.Validator.
func (s ProcessSettings) Validate() error {
	return checkOneOf("log_level", s.LogLevel, []string{"debug", "info", "warn", "error"})
}

// Validate implements settings.Validator.
func (s PlatformSettings) Validate() error {
	return errors.Join(checkURL("objects", s.Objects), checkURL("hosts", s.Hosts))
}

// Validate implements settings.Validator.
func (s UpstreamSettings) Validate() error {
	kinds := []config.StageKind{config.KindEngine, config.KindPool, config.KindService}
	return errors.Join(
		checkURL("url", s.URL),
		checkOneOf("kind", s.Kind, kinds),
		checkRange("capacity", s.Capacity, 0, maxCapacity),
	)
}

// Validate implements settings.Validator.
func (s QueueSettings) Validate() error {
	return errors.Join(
		checkOneOf("discipline", s.Discipline, []string{DisciplineFair, DisciplineFIFO}),
		checkRange("max_queued", s.MaxQueued, 1, maxQueuedLimit),
		checkRange("max_input_bytes", s.MaxInputBytes, 1, maxBytesLimit),
		checkRange("max_output_bytes", s.MaxOutputBytes, 1, maxBytesLimit),
	)
}

// Validate implements settings.Validator.
func (s ResultSettings) Validate() error {
	lifetime := int(gate.DefaultTicketLifetime / time.Millisecond)
	return errors.Join(
		checkRange("keep_ms", s.KeepMS, 100, maxKeepMS),
		checkRange("keep_claimed_ms", s.KeepClaimedMS, lifetime+1, maxKeepMS),
		checkRange("max_claimed", s.MaxClaimed, 1, maxClaimedLimit),
		checkRange("grace_ms", s.GraceMS, 1, maxGraceMS),
		checkRange("stop_ms", s.StopMS, 1, maxStopMS),
	)
}

// checkAddr checks that text is an IP and a port.
func checkAddr(key, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return settings.Invalid(key, "%q is not IP:port", text)
	}
	return nil
}

// checkURL checks that text is an http base URL, or empty.
func checkURL(key, text string) error {
	parsed, err := url.Parse(text)
	if text != "" && (err != nil || parsed.Scheme != "http" || parsed.Host == "") {
		return settings.Invalid(key, "%q is not an http URL", text)
	}
	return nil
}

// checkRange checks that value is between low and high, inclusive.
func checkRange(key string, value, low, high int) error {
	if value < low || value > high {
		return settings.Invalid(key, "%d is not within %d to %d", value, low, high)
	}
	return nil
}

// checkOneOf checks that value is one of allowed.
func checkOneOf[T ~string](key string, value T, allowed []T) error {
	if !slices.Contains(allowed, value) {
		return settings.Invalid(key, "%q is none of %v", value, allowed)
	}
	return nil
}
