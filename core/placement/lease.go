package placement

import (
	"time"
)

// LeaseRecord is the value of the lease object.
type LeaseRecord struct {
	// Holder is the name of the process that proposes; empty if it gave the lease up.
	Holder string `json:"holder"`
	// Term is a random number that the holder chose when it took the lease.
	Term uint64 `json:"term"`
	// Renewal rises with each renewal, so that each writes another value.
	Renewal uint64 `json:"renewal"`
}

// LeaseStep is what to do with the lease object after a read.
type LeaseStep struct {
	// Write tells to write Record: by a create if Version is zero, else by an
	// update of that version.
	Write   bool
	Record  LeaseRecord
	Version uint64
}

// Lease is one process's view of the lease. It is pure: the clock is the
// process's own monotonic one, and no two processes' clocks are compared. A
// process takes the lease over when it has seen it unchanged for the whole TTL.
//
// The lease only saves effort. Two processes that both believe to hold it can do
// no harm, because plans are written under the condition of the plan object's
// version, and a new holder's first write moves that version.
type Lease struct {
	self string
	ttl  time.Duration
	// term is the process's own; each process draws one when it starts.
	term    uint64
	renewal uint64

	seenVersion uint64
	seenAt      time.Duration
	seen        bool
	// heldSince is the moment before the write that last proved the lease held.
	held      bool
	heldSince time.Duration
	// lostAt is the moment before the first write whose effect is not known.
	lost   bool
	lostAt time.Duration
	// fresh is set from taking the lease until the first plan was written.
	fresh bool
}

// NewLease returns the view of a process that does not hold the lease. Term is a
// random number of the process.
func NewLease(self string, term uint64, ttl time.Duration) *Lease {
	return &Lease{self: self, term: term, ttl: ttl}
}

// Absent hands in that a read at now found no lease object.
func (l *Lease) Absent(now time.Duration) LeaseStep {
	l.lose()
	return LeaseStep{Write: true, Record: l.next()}
}

// Found hands in what a read at now found, and returns what to do.
func (l *Lease) Found(now time.Duration, record LeaseRecord, version uint64) LeaseStep {
	if !l.seen || l.seenVersion != version {
		l.seen = true
		l.seenVersion = version
		l.seenAt = now
	}
	if record.Term == l.term {
		l.readBack(record)
		return LeaseStep{Write: true, Record: l.next(), Version: version}
	}
	l.lose()
	if record.Holder != "" && now-l.seenAt < l.ttl {
		return LeaseStep{}
	}
	return LeaseStep{Write: true, Record: l.next(), Version: version}
}

// readBack notes that the object carries the process's own term. If the write's
// answer was lost then this is how it learns that it holds the lease. The time
// held counts from before that write, because others may have read it soon after.
func (l *Lease) readBack(record LeaseRecord) {
	l.renewal = max(l.renewal, record.Renewal)
	if !l.held {
		l.take(l.lostAt)
	}
}

// Wrote hands in that the write took effect; before is the moment before it was
// sent, from which the time held counts.
func (l *Lease) Wrote(before time.Duration, version uint64) {
	l.seen = true
	l.seenVersion = version
	l.seenAt = before
	if !l.held {
		l.take(before)
	}
	l.heldSince = before
	l.lost = false
}

// Lost hands in that the answer to a write was lost; before is the moment before
// it was sent. The next read tells what became of it.
func (l *Lease) Lost(before time.Duration) {
	if !l.lost {
		l.lost = true
		l.lostAt = before
	}
}

// Holds tells whether the process believes to hold the lease at now.
func (l *Lease) Holds(now time.Duration) bool {
	return l.held && now-l.heldSince < l.ttl
}

// Fresh tells whether the holder has not written a plan since it took the lease.
// It must then write one even without a change: that moves the plan's version, so
// that whatever an earlier holder still has in hand fails.
func (l *Lease) Fresh() bool { return l.fresh }

// Planned hands in that a plan was written.
func (l *Lease) Planned() { l.fresh = false }

// Release returns the write that gives the lease up, if it is held.
func (l *Lease) Release() LeaseStep {
	if !l.held {
		return LeaseStep{}
	}
	l.lose()
	return LeaseStep{Write: true, Record: LeaseRecord{Term: l.term}, Version: l.seenVersion}
}

// next returns the record of the next renewal.
func (l *Lease) next() LeaseRecord {
	l.renewal++
	return LeaseRecord{Holder: l.self, Term: l.term, Renewal: l.renewal}
}

// take begins to hold the lease.
func (l *Lease) take(now time.Duration) {
	l.held = true
	l.fresh = true
	l.heldSince = now
}

// lose ends to hold the lease.
func (l *Lease) lose() {
	l.held = false
	l.fresh = false
}
