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
}

// Defaults and bounds of the settings.
const (
	defaultRevisions = 1000
	defaultHours     = 24
	minRevisions     = 100
	maxRevisions     = 1_000_000
	maxHours         = 100 * 24 * 365
)

// batchSize is how many changes are removed for one update of the head, which
// wakes every watch of the configuration.
const batchSize = 200

// DefaultSettings returns the settings of a process that names none.
func DefaultSettings() Settings {
	return Settings{Revisions: defaultRevisions, Hours: defaultHours}
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
	return errors.Join(problems...)
}

// policy returns the settings in the terms of the protocol.
func (s Settings) policy() retention.Policy {
	return retention.Policy{Revisions: s.Revisions, Age: time.Duration(s.Hours) * time.Hour, Batch: batchSize}
}
