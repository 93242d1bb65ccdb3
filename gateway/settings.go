// Package gateway is the process that serves clients on the users' platform: it takes
// requests, has their stages done by the pools and sends them to upstreams. All
// gateways are equal; what they must agree on lies in the platform's store, and the
// queue of each stage pool is owned by one of them.
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

// Settings are a gateway's settings.
type Settings struct {
	Process ProcessSettings `toml:"process"`
	Listen  ListenSettings  `toml:"listen"`
	Store   StoreSettings   `toml:"store"`
	Bounds  BoundSettings   `toml:"bounds"`
	Fleet   FleetSettings   `toml:"fleet"`
	Log     LogSettings     `toml:"log"`
}

// ProcessSettings name the process.
type ProcessSettings struct {
	// Name is the machine's; no other gateway has it.
	Name string `toml:"name" required:"true"`
	// Zone is the availability zone.
	Zone string `toml:"zone" required:"true"`
	// Regions says in which region each zone lies: zone=region, separated by commas. Upstreams of
	// other zones run nothing that is bound to regions.
	Regions string `toml:"regions"`
	// MemoryMB is what the process may use.
	MemoryMB int `toml:"memory_mb" required:"true"`
	// Cores is what the process may use of the machine's processor, in cores; 0 if it is not
	// known.
	Cores float64 `toml:"cores"`
	// LinkMbps is the rate of the machine's network link in Mbit/s; 0 if it is not known.
	LinkMbps float64 `toml:"link_mbps"`
}

// ListenSettings are the addresses, IP:port, that the process listens on.
type ListenSettings struct {
	Clients   string `toml:"clients" required:"true"`
	Readiness string `toml:"readiness" required:"true"`
	Fleet     string `toml:"fleet" required:"true"`
	Metrics   string `toml:"metrics" required:"true"`
}

// StoreSettings tell where the platform's store is.
type StoreSettings struct {
	Address string `toml:"address" required:"true"`
}

// BoundSettings are what the platform promises and asks.
type BoundSettings struct {
	// RevokeMS is the time in ms after which a key that was taken away must not work.
	RevokeMS int `toml:"revoke_ms" required:"true"`
	// ConfigApplyMS is the time in ms after which a change that the store has accepted must be
	// in force.
	ConfigApplyMS int `toml:"config_apply_ms"`
	// EvacuateMS is the time in ms after which a zone that the operator has evacuated must get
	// nothing new; 0 if zones are not evacuated here.
	EvacuateMS int `toml:"evacuate_ms"`
	// ColdOverrun and ColdSlack bound what a cold upstream gets in any second, over all
	// gateways: overrun × the number that the configuration says it takes + slack.
	ColdOverrun float64 `toml:"cold_overrun"`
	ColdSlack   float64 `toml:"cold_slack"`
	// GraceSeconds is the time in s that a planned stop may take.
	GraceSeconds float64 `toml:"grace_s" required:"true"`
	// RetryRatio and RetrySlack bound the repeated sends to a service in a window,
	// over all gateways: ratio × requests + slack.
	RetryRatio float64 `toml:"retry_ratio" required:"true"`
	RetrySlack float64 `toml:"retry_slack" required:"true"`
}

// FleetSettings are common to all processes of the fleet.
type FleetSettings struct {
	// Key is what the processes prove to each other that they hold.
	Key string `toml:"key" required:"true"`
	// FirstStart is set if the whole fleet starts for the first time: the others are there
	// only a moment later.
	FirstStart bool `toml:"first_start"`
}

// LogSettings are for the log.
type LogSettings struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Defaults returns the settings of keys that a file may leave out.
func Defaults() Settings {
	return Settings{Log: LogSettings{Level: "info"}, Bounds: BoundSettings{ConfigApplyMS: defaultApplyMS, ColdOverrun: defaultOverrun}}
}

// defaultApplyMS is the shortest bound of the sites known, in ms.
const defaultApplyMS = 2000

// defaultOverrun leaves cold upstreams the number that the configuration says they take.
const defaultOverrun = 1

// Bounds of process.memory_mb: a Go process needs some 16 MB to run at all.
const (
	leastMemoryMB = 16
	mostMemoryMB  = 1 << 20
)

// Validate implements settings.Validator.
func (p *ProcessSettings) Validate() error {
	if p.MemoryMB < leastMemoryMB || p.MemoryMB > mostMemoryMB {
		return settings.Invalid("memory_mb", "must be from %d to %d", leastMemoryMB, mostMemoryMB)
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
	for _, one := range strings.Split(p.Regions, ",") {
		zone, region, found := strings.Cut(one, "=")
		if !found || zone == "" || region == "" {
			return nil, settings.Invalid("regions", "must be zone=region, separated by commas, has %q", one)
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

// leastApplyMS is the least of bounds.config_apply_ms and bounds.evacuate_ms: below it the
// store's readers could not be watched closely enough.
const leastApplyMS = 200

// Validate implements settings.Validator.
func (b *BoundSettings) Validate() error {
	switch {
	case b.RevokeMS < 1:
		return settings.Invalid("revoke_ms", "must be at least 1")
	case b.ConfigApplyMS < leastApplyMS:
		return settings.Invalid("config_apply_ms", "must be at least %d", leastApplyMS)
	case b.EvacuateMS != 0 && b.EvacuateMS < leastApplyMS:
		return settings.Invalid("evacuate_ms", "must be 0 or at least %d", leastApplyMS)
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

// confirmMargin is how much earlier than the bound on keys a request with a key is
// refused: the time from the check until an upstream begins, and the error of clocks.
const confirmMargin = 500 * time.Millisecond

// confirmWithin returns for how long keys are trusted without a new proof.
func (b *BoundSettings) confirmWithin() time.Duration {
	return max(time.Duration(b.RevokeMS)*time.Millisecond-confirmMargin, confirmMargin)
}

// source returns what the settings say of the store.
func (s *Settings) source() view.Source {
	return view.Source{
		Store:         s.Store.Address,
		ConfirmWithin: s.Bounds.confirmWithin(),
		ApplyWithin:   s.Bounds.applyWithin(),
		Evacuations:   s.Bounds.EvacuateMS > 0,
	}
}

// applyWithin returns within which time all that the operator writes must be in force.
func (b *BoundSettings) applyWithin() time.Duration {
	within := b.ConfigApplyMS
	if b.EvacuateMS > 0 {
		within = min(within, b.EvacuateMS)
	}
	return time.Duration(within) * time.Millisecond
}

// retries returns what the settings say of repeated sends.
func (s *Settings) retries() flow.Retries {
	return flow.Retries{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack}
}
