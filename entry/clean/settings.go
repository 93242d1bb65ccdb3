package clean

import (
	"errors"
	"time"

	"acaciawinch/core/config/retention"
	"acaciawinch/settings"
)

// Settings tell how much history of the configuration is kept. A change goes when
// it is beyond both bounds.
type Settings struct {
	// Revisions is how many revisions are kept at least; 0 keeps all for ever.
	Revisions int `toml:"revisions"`
	// Hours is how long a change is kept at least.
	Hours int `toml:"hours"`
	// FirstPassSeconds bounds the random time before the first pass.
	FirstPassSeconds int `toml:"first_pass_seconds"`
	// CallsPerSecond bounds the calls to the store.
	CallsPerSecond int `toml:"calls_per_second"`
}

// Defaults and bounds of the settings.
const (
	defaultRevisions = 1000
	defaultHours     = 24
	minRevisions     = 100
	maxRevisions     = 1_000_000
	maxHours         = 100 * 24 * 365

	defaultFirstPassSeconds = 600
	maxFirstPassSeconds     = 24 * 3600
	// A day of 4,000 changes needs some 12,500 calls.
	defaultCallsPerSecond = 1
	maxCallsPerSecond     = 1000
)

// batchSize is how many changes are removed for one update of the head, which
// wakes every watch of the configuration.
const batchSize = 200

// DefaultSettings returns the settings of a process that names none.
func DefaultSettings() Settings {
	return Settings{
		Revisions:        defaultRevisions,
		Hours:            defaultHours,
		FirstPassSeconds: defaultFirstPassSeconds,
		CallsPerSecond:   defaultCallsPerSecond,
	}
}

// Validate implements settings.Validator.
func (s Settings) Validate() error {
	var problems []error
	if s.Revisions != 0 && (s.Revisions < minRevisions || s.Revisions > maxRevisions) {
		problems = append(problems, settings.Invalid("revisions", "%d is neither 0 nor within %d to %d", s.Revisions, minRevisions, maxRevisions))
	}
	if s.Hours < 0 || s.Hours > maxHours {
		problems = append(problems, settings.Invalid("hours", "%d is not within 0 to %d", s.Hours, maxHours))
	}
	if s.FirstPassSeconds < 1 || s.FirstPassSeconds > maxFirstPassSeconds {
		problems = append(problems, settings.Invalid("first_pass_seconds", "%d is not within 1 to %d", s.FirstPassSeconds, maxFirstPassSeconds))
	}
	if s.CallsPerSecond < 1 || s.CallsPerSecond > maxCallsPerSecond {
		problems = append(problems, settings.Invalid("calls_per_second", "%d is not within 1 to %d", s.CallsPerSecond, maxCallsPerSecond))
	}
	return errors.Join(problems...)
}

// firstPass bounds the random time before the first pass.
func (s Settings) firstPass() time.Duration { return time.Duration(s.FirstPassSeconds) * time.Second }

// policy returns the settings in the terms of the protocol.
func (s Settings) policy() retention.Policy {
	return retention.Policy{Revisions: s.Revisions, Age: time.Duration(s.Hours) * time.Hour, Batch: batchSize}
}
