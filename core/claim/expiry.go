package claim

import "time"

// Times of the expiry of claims.
const (
	// Retention is how long a key keeps its claim: a request that comes with the
	// key within this time never runs the stage again.
	Retention = 24 * time.Hour
	// clockMargin is how far the wall clocks of honest hosts may differ.
	clockMargin = 10 * time.Minute
	// idleMargin is how far behind the newest claim the present may be taken to be.
	idleMargin = time.Hour
)

// Expiry decides which claims are old enough to delete. It is fed with all claims
// that a pass over the store sees.
//
// The wall clock of a single host is not believed. The present is taken to be no
// later than the newest claim seen plus a margin, so that a deleter whose clock
// runs ahead deletes nothing too early, unless a writer's clock runs ahead as
// well. In a fleet that gets no claims nothing expires, and nothing piles up.
//
// Deleting a claim can't revive an old attempt: its ticket is older than a side
// accepts, or its side has gone.
type Expiry struct {
	newest int64
}

// See takes a claim's time of creation into account.
func (e *Expiry) See(record Record) {
	e.newest = max(e.newest, record.CreatedUnix)
}

// Expired tells whether a claim is older than the retention. NowUnix is the
// host's own wall clock in seconds.
func (e *Expiry) Expired(record Record, nowUnix int64) bool {
	now := min(nowUnix, e.newest+int64(idleMargin.Seconds()))
	keep := int64((Retention + clockMargin).Seconds())
	return record.CreatedUnix+keep < now
}
