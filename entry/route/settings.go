package route

import (
	"errors"
	"time"

	"acaciawinch/core/routing"
	"acaciawinch/settings"
)

// Defaults and ranges of the settings.
const (
	defaultProbeTimeout = 25 * time.Millisecond
	minProbeTimeoutMS   = 1
	maxProbeTimeoutMS   = 1000
)

// Settings is the [routing] table of the entry's settings.
type Settings struct {
	// Policy is the name of the routing policy. The default is probe2; the others
	// serve as baselines in measurements.
	Policy string `toml:"policy"`
	// ProbeTimeoutMS is the timeout of a probe within the entry's zone, in
	// milliseconds. For other zones it grows with the round-trip time.
	ProbeTimeoutMS int `toml:"probe_timeout_ms"`
}

// DefaultSettings returns the settings that apply without a [routing] table.
func DefaultSettings() Settings {
	return Settings{
		Policy:         routing.Probe2,
		ProbeTimeoutMS: int(defaultProbeTimeout / time.Millisecond),
	}
}

// orDefault returns s with defaults in place of zero fields.
func (s Settings) orDefault() Settings {
	defaults := DefaultSettings()
	if s.Policy == "" {
		s.Policy = defaults.Policy
	}
	if s.ProbeTimeoutMS == 0 {
		s.ProbeTimeoutMS = defaults.ProbeTimeoutMS
	}
	return s
}

// Validate implements settings.Validator.
func (s Settings) Validate() error {
	s = s.orDefault()
	var problems []error
	if _, err := routing.NewPolicy(s.Policy); err != nil {
		problems = append(problems, settings.Invalid("policy",
			"%q is none of probe2, probe_pool, random, round_robin, least_local", s.Policy))
	}
	if s.ProbeTimeoutMS < minProbeTimeoutMS || s.ProbeTimeoutMS > maxProbeTimeoutMS {
		problems = append(problems, settings.Invalid("probe_timeout_ms",
			"%d is not within %d to %d", s.ProbeTimeoutMS, minProbeTimeoutMS, maxProbeTimeoutMS))
	}
	return errors.Join(problems...)
}
