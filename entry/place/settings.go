package place

import (
	"errors"
	"time"

	"acaciawinch/settings"
)

// Settings is the [placement] table of an entry's settings. Fields that are zero get the
// defaults.
type Settings struct {
	// MaxLoads bounds the concurrent loads from the weight store over the whole fleet.
	MaxLoads int `toml:"max_loads"`
	// ModelsPerEngine bounds the number of models that one engine holds.
	ModelsPerEngine int `toml:"models_per_engine"`
	// RoundMS is the time between two rounds of the holder, LeaseMS the time after which
	// a lease that was not renewed expires, in milliseconds.
	RoundMS int `toml:"round_ms"`
	LeaseMS int `toml:"lease_ms"`
	// GraceMS is how long an engine's sidecar may be silent before its models are placed
	// elsewhere; LoadMS is how long a load may take.
	GraceMS int `toml:"grace_ms"`
	LoadMS  int `toml:"load_ms"`
	// ProbesPerRound bounds the engines that are probed in one round.
	ProbesPerRound int `toml:"probes_per_round"`
}

// DefaultSettings returns the settings that apply without a [placement] table.
func DefaultSettings() Settings {
	return Settings{
		MaxLoads:        2,
		ModelsPerEngine: 2,
		RoundMS:         5000,
		LeaseMS:         15000,
		GraceMS:         30000,
		LoadMS:          300000,
		ProbesPerRound:  64,
	}
}

// orDefault returns the settings with the defaults in place of zero fields.
func (s Settings) orDefault() Settings {
	defaults := DefaultSettings()
	fill := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&s.MaxLoads, defaults.MaxLoads)
	fill(&s.ModelsPerEngine, defaults.ModelsPerEngine)
	fill(&s.RoundMS, defaults.RoundMS)
	fill(&s.LeaseMS, defaults.LeaseMS)
	fill(&s.GraceMS, defaults.GraceMS)
	fill(&s.LoadMS, defaults.LoadMS)
	fill(&s.ProbesPerRound, defaults.ProbesPerRound)
	return s
}

// Ranges of the settings.
const (
	maxCount       = 10000
	maxMS          = 3600000
	minMS          = 10
	roundsPerLease = 2
)

// Validate implements settings.Validator.
func (s Settings) Validate() error {
	s = s.orDefault()
	var problems []error
	check := func(key string, value, minimum, maximum int) {
		if value < minimum || value > maximum {
			problems = append(problems, settings.Invalid(key, "%d is not within %d to %d", value, minimum, maximum))
		}
	}
	check("max_loads", s.MaxLoads, 1, maxCount)
	check("models_per_engine", s.ModelsPerEngine, 1, maxCount)
	check("round_ms", s.RoundMS, minMS, maxMS)
	check("lease_ms", s.LeaseMS, roundsPerLease*s.RoundMS, maxMS)
	check("grace_ms", s.GraceMS, minMS, maxMS)
	check("load_ms", s.LoadMS, minMS, maxMS)
	check("probes_per_round", s.ProbesPerRound, 1, maxCount)
	return errors.Join(problems...)
}

// milliseconds returns a setting as a duration.
func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
