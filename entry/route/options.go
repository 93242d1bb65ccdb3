package route

import (
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
)

// Fleet is the state of the fleet that routing reads. *feed.State implements it.
// Values are immutable: a changed state is another value.
type Fleet interface {
	Hosts() []fleet.Host
	Drained(upstream string) bool
	Placement() (plan placement.Plan, version uint64)
}

// Options configure a Router. Fleet, Prober and Logger must be set.
type Options struct {
	// Zone and Region are those of the entry.
	Zone, Region string
	// Fleet returns the current state, nil until one is known.
	Fleet func() Fleet
	// Revision returns the configuration revision to send in probes; may be nil.
	Revision func() core.Revision
	// NoteRevision is called with the revision and address of each sidecar that
	// responds to a probe; may be nil.
	NoteRevision func(revision core.Revision, addr string)
	Prober       Prober
	Logger       *observe.Logger
	// Scope receives the metrics; nil disables them.
	Scope    tally.Scope
	Settings Settings
	// Seed seeds the random source. It must differ between entries.
	Seed uint64
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// complete returns o with defaults for the options that are not set.
func (o Options) complete() Options {
	o.Settings = o.Settings.orDefault()
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Revision == nil {
		o.Revision = func() core.Revision { return 0 }
	}
	if o.NoteRevision == nil {
		o.NoteRevision = func(core.Revision, string) {}
	}
	return o
}
