package route

import (
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
)

// Fleet is the state of the fleet that routing reads. *feed.State satisfies it.
// A value never changes; another state is another value.
type Fleet interface {
	Hosts() []fleet.Host
	Drained(upstream string) bool
	Placement() (plan placement.Plan, version uint64)
}

// Options are what a Router needs. Fleet, Prober and Logger must be set.
type Options struct {
	// Zone and Region are the entry's own.
	Zone, Region string
	// Fleet returns the present state, nil before the first is known.
	Fleet func() Fleet
	// Revision returns the configuration revision that probes carry; may be nil.
	Revision func() core.Revision
	// NoteRevision is told the revision and address of each side that answers a
	// probe; may be nil.
	NoteRevision func(revision core.Revision, addr string)
	Prober       Prober
	Logger       *observe.Logger
	// Scope gets the metrics; nil for none.
	Scope    tally.Scope
	Settings Settings
	// Seed starts the random source. Entries must differ in it.
	Seed uint64
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// complete fills what was left out.
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
