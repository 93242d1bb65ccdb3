package claim

import "time"

// Times that decide when a claim expires.
const (
	// Retention is how long the claim of a key is kept: a request with the same
	// key within this time never runs the stage a second time.
	Retention = 24 * time.Hour
	// clockMargin is the largest expected difference between the wall clocks of
	// hosts that work correctly.
	clockMargin = 10 * time.Minute
	// idleMargin is how far after the newest claim the current time is assumed to be at
	// most.
	idleMargin = time.Hour
)

// Expiry decides which claims are old enough to delete. Observe must be called with
// every claim that a pass over the store reads.
//
// The wall clock of a single host is not trusted. The current time is assumed to
// be no later than the newest claim seen plus a margin, so that a deleter whose
// clock runs ahead deletes nothing too early, unless a writer's clock runs ahead
// as well. In a fleet that gets no claims nothing expires, but nothing
// accumulates either.
//
// Deleting a claim can't make an old attempt run: its ticket is older than a
// sidecar accepts, or its sidecar no longer runs.
type Expiry struct {
	newest int64
}

// Observe records the creation time of a claim if it is the newest so far.
func (e *Expiry) Observe(record Record) {
	e.newest = max(e.newest, record.CreatedUnix)
}

// Expired reports whether a claim is older than the retention. The argument
// nowUnix is the host's own wall clock in seconds.
func (e *Expiry) Expired(record Record, nowUnix int64) bool {
	now := min(nowUnix, e.newest+int64(idleMargin.Seconds()))
	keep := int64((Retention + clockMargin).Seconds())
	return record.CreatedUnix+keep < now
}
