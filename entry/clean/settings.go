package clean

import (
	"errors"
	"time"

	"acaciawinch/core/config/retention"
	"acaciawinch/settings"
)

// Settings is how much of the configuration's history is kept. A change is deleted when
// it exceeds both Revisions and Hours.
type Settings struct {
	// Revisions is the minimum number of revisions kept; 0 keeps all of them forever.
	Revisions int `toml:"revisions"`
	// Hours is the minimum time for which a change is kept.
	Hours int `toml:"hours"`
	// FirstPassSeconds bounds the random time before the first pass; it is also the time
	// until the next attempt while the host list is not known.
	FirstPassSeconds int `toml:"first_pass_seconds"`
	// CallsPerSecond bounds the rate of calls to the store.
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
	// Cleaning up a day with 4,000 changes takes about 12,500 calls.
	defaultCallsPerSecond = 1
	maxCallsPerSecond     = 1000
)

// batchSize is how many changes are deleted per update of the head object. Each such
// update wakes every watch of the configuration, so there should be few.
const batchSize = 200

// DefaultSettings returns the settings of a process whose settings name none.
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

// firstPass returns FirstPassSeconds as a duration.
func (s Settings) firstPass() time.Duration { return time.Duration(s.FirstPassSeconds) * time.Second }

// policy returns the settings as the policy of the retention protocol.
func (s Settings) policy() retention.Policy {
	return retention.Policy{Revisions: s.Revisions, Age: time.Duration(s.Hours) * time.Hour, Batch: batchSize}
}
