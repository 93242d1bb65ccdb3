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

// Settings is the [routing] table of an entry's settings.
type Settings struct {
	// Policy names how an upstream is chosen: probe2 unless something is to be
	// measured against it.
	Policy string `toml:"policy"`
	// ProbeTimeoutMS bounds a probe within the own zone, in milliseconds. Farther
	// zones get their distance on top.
	ProbeTimeoutMS int `toml:"probe_timeout_ms"`
}

// DefaultSettings returns the settings of a file without a [routing] table.
func DefaultSettings() Settings {
	return Settings{
		Policy:         routing.Probe2,
		ProbeTimeoutMS: int(defaultProbeTimeout / time.Millisecond),
	}
}

// orDefault fills the fields that are zero.
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
