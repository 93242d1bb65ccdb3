package side

import (
	"net"
	"net/url"
	"slices"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// Settings are a side process's TOML settings.
type Settings struct {
	Process  ProcessSettings  `toml:"process"`
	Listen   ListenSettings   `toml:"listen"`
	Platform PlatformSettings `toml:"platform"`
	Fleet    FleetSettings    `toml:"fleet"`
	Upstream UpstreamSettings `toml:"upstream"`
	Queue    QueueSettings    `toml:"queue"`
	Results  ResultSettings   `toml:"results"`
}

// ProcessSettings name the process and its place.
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
	Objects string `toml:"objects"`
	Hosts   string `toml:"hosts" required:"true"`
}

// FleetSettings hold what all processes of the fleet share.
type FleetSettings struct {
	Key string `toml:"key" required:"true"`
}

// UpstreamSettings describe the upstream beside the process.
type UpstreamSettings struct {
	// Name is the upstream's name in the host list.
	Name    string           `toml:"name" required:"true"`
	Service string           `toml:"service" required:"true"`
	Kind    config.StageKind `toml:"kind" required:"true"`
	URL     string           `toml:"url" required:"true"`
	// Capacity is how many attempts the upstream runs at once; zero takes the
	// upstream's own report.
	Capacity int `toml:"capacity"`
}

// QueueSettings bound the queue.
type QueueSettings struct {
	// MaxQueued bounds the attempts that wait.
	MaxQueued int `toml:"max_queued"`
	// MaxInputBytes bounds the input of one attempt.
	MaxInputBytes int `toml:"max_input_bytes"`
}

// ResultSettings bound what is kept of finished attempts.
type ResultSettings struct {
	// KeepMS is how long a result of an idempotent attempt waits for its
	// acknowledgement, in milliseconds.
	KeepMS int `toml:"keep_ms"`
	// KeepClaimedMS is the same for a claimed attempt. It must be longer than the
	// ticket lifetime.
	KeepClaimedMS int `toml:"keep_claimed_ms"`
	// MaxClaimed bounds the claimed attempts and tombstones that are remembered.
	MaxClaimed int `toml:"max_claimed"`
	// GraceMS is how long an attempt without any reader goes on.
	GraceMS int `toml:"grace_ms"`
	// StopMS bounds a planned stop.
	StopMS int `toml:"stop_ms"`
}

// Defaults of the settings.
const (
	defaultLogLevel      = "info"
	defaultMaxQueued     = 256
	defaultMaxInputBytes = 1 << 20
	defaultKeep          = 10 * time.Second
	defaultKeepClaimed   = 10 * time.Minute
	defaultMaxClaimed    = 20_000
	defaultGrace         = 2 * time.Second
	defaultStop          = 20 * time.Second
)

// Defaults returns settings with every optional value filled in.
func Defaults() Settings {
	return Settings{
		Process: ProcessSettings{LogLevel: defaultLogLevel},
		Queue: QueueSettings{
			MaxQueued:     defaultMaxQueued,
			MaxInputBytes: defaultMaxInputBytes,
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

// settingsStep is the step of errors in the settings.
const settingsStep = "settings.validate"

// kinds are the kinds of upstreams that a side serves.
var kinds = []config.StageKind{config.KindEngine, config.KindPool, config.KindService}

// Validate checks the ranges. The error names the first key that is wrong.
func (s Settings) Validate() error {
	checks := []error{
		checkAddr("listen.fleet", s.Listen.Fleet),
		checkAddr("listen.admin", s.Listen.Admin),
		checkURL("platform.hosts", s.Platform.Hosts),
		checkURL("upstream.url", s.Upstream.URL),
		checkRange("upstream.capacity", s.Upstream.Capacity, 0, 100_000),
		checkRange("queue.max_queued", s.Queue.MaxQueued, 1, 1_000_000),
		checkRange("queue.max_input_bytes", s.Queue.MaxInputBytes, 1, 64<<20),
		checkRange("results.keep_ms", s.Results.KeepMS, 100, 3_600_000),
		checkRange("results.keep_claimed_ms", s.Results.KeepClaimedMS, 100, 86_400_000),
		checkRange("results.max_claimed", s.Results.MaxClaimed, 1, 10_000_000),
		checkRange("results.grace_ms", s.Results.GraceMS, 0, 600_000),
		checkRange("results.stop_ms", s.Results.StopMS, 1, 3_600_000),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if !slices.Contains(kinds, s.Upstream.Kind) {
		return fault.New(fault.Invalid, settingsStep, "", "upstream.kind: %q is none of engine, pool, service", s.Upstream.Kind)
	}
	return nil
}

// checkAddr checks that text is an IP and a port.
func checkAddr(key, text string) error {
	if _, err := net.ResolveTCPAddr("tcp", text); err != nil || text == "" {
		return fault.New(fault.Invalid, settingsStep, "", "%s: %q is not IP:port", key, text)
	}
	return nil
}

// checkURL checks that text is an http base URL.
func checkURL(key, text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme == "" || parsed.Host == "" {
		return fault.New(fault.Invalid, settingsStep, "", "%s: %q is not a URL", key, text)
	}
	return nil
}

// checkRange checks that value lies between low and high, both included.
func checkRange(key string, value, low, high int) error {
	if value < low || value > high {
		return fault.New(fault.Invalid, settingsStep, "", "%s: %d is not within %d to %d", key, value, low, high)
	}
	return nil
}
