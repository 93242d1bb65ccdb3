package placement

import (
	"time"
)

// LeaseRecord is the value of the lease object.
type LeaseRecord struct {
	// Holder is the name of the proposer that holds the lease; empty if it released the
	// lease.
	Holder string `json:"holder"`
	// Term is a random number that identifies one incarnation of the holder.
	Term uint64 `json:"term"`
	// Renewal increases with each renewal, so that each renewal changes the value.
	Renewal uint64 `json:"renewal"`
}

// LeaseStep is the write, if any, to make to the lease object after a read.
type LeaseStep struct {
	// Write is set if Record is to be written: by a create if Version is zero, else by
	// an update conditional on that version.
	Write   bool
	Record  LeaseRecord
	Version uint64
}

// Lease is one process's view of the lease. It does no I/O: callers pass in the times of
// the process's own monotonic clock, and clocks of different processes are never
// compared. A process takes over the lease after it has observed the lease unchanged for
// the whole TTL.
//
// The lease only avoids duplicate work. Two processes that both believe that they hold it
// do no harm, because writes of the plan are conditional on the plan object's version,
// and a new holder's first write changes that version.
type Lease struct {
	self string
	ttl  time.Duration
	// term is this process's term, chosen at random when the process starts.
	term    uint64
	renewal uint64

	// seenVersion is the last version of the lease object that the process has seen, and
	// seenAt the time at which it first saw that version; seen is set after the first read.
	seenVersion uint64
	seenAt      time.Duration
	seen        bool
	// held is set from the acquisition of the lease until the process learns that it no
	// longer holds it. heldSince is the time just before the latest write that acquired or
	// renewed the lease; the lease is held for at most ttl after it.
	held      bool
	heldSince time.Duration
	// unconfirmed is set while the result of a write is unknown, and unconfirmedAt is the
	// time just before the first such write.
	unconfirmed   bool
	unconfirmedAt time.Duration
	// needsPlan is set from the acquisition of the lease until the first plan is written.
	needsPlan bool
}

// NewLease returns the view of a process that does not hold the lease. The term is a
// random number chosen by the process.
func NewLease(self string, term uint64, ttl time.Duration) *Lease {
	return &Lease{self: self, term: term, ttl: ttl}
}

// Absent records that a read at now found no lease object, and returns the write to make.
func (l *Lease) Absent(now time.Duration) LeaseStep {
	l.drop()
	return LeaseStep{Write: true, Record: l.nextRecord()}
}

// Found records the lease object found by a read at now, and returns the write to make.
func (l *Lease) Found(now time.Duration, record LeaseRecord, version uint64) LeaseStep {
	if !l.seen || l.seenVersion != version {
		l.seen = true
		l.seenVersion = version
		l.seenAt = now
	}
	if record.Term == l.term {
		l.readBack(record)
		return LeaseStep{Write: true, Record: l.nextRecord(), Version: version}
	}
	l.drop()
	if record.Holder != "" && now-l.seenAt < l.ttl {
		return LeaseStep{}
	}
	return LeaseStep{Write: true, Record: l.nextRecord(), Version: version}
}

// readBack records that the lease object has the process's own term. If the response to
// a write was lost, this is how the process learns that it holds the lease. The holding
// time counts from before that write, because other processes may have read the object
// right after the write.
func (l *Lease) readBack(record LeaseRecord) {
	l.renewal = max(l.renewal, record.Renewal)
	if !l.held {
		l.acquire(l.unconfirmedAt)
	}
}

// Wrote records that the write took effect; before is the time before the write was sent,
// from which the holding time counts.
func (l *Lease) Wrote(before time.Duration, version uint64) {
	l.seen = true
	l.seenVersion = version
	l.seenAt = before
	if !l.held {
		l.acquire(before)
	}
	l.heldSince = before
	l.unconfirmed = false
}

// Unconfirmed records that the response to a write was lost, so that its result is
// unknown until the next read; before is the time before the write was sent.
func (l *Lease) Unconfirmed(before time.Duration) {
	if !l.unconfirmed {
		l.unconfirmed = true
		l.unconfirmedAt = before
	}
}

// Holds reports whether the process believes that it holds the lease at now.
func (l *Lease) Holds(now time.Duration) bool {
	return l.held && now-l.heldSince < l.ttl
}

// NeedsPlan reports whether the holder has not written a plan since it acquired the
// lease. It must then write one even without a change: that changes the plan's version,
// so that pending writes of an earlier holder fail.
func (l *Lease) NeedsPlan() bool { return l.needsPlan }

// Planned records that a plan was written.
func (l *Lease) Planned() { l.needsPlan = false }

// Release gives up the lease and returns the write that releases it; no write if the
// lease is not held.
func (l *Lease) Release() LeaseStep {
	if !l.held {
		return LeaseStep{}
	}
	l.drop()
	return LeaseStep{Write: true, Record: LeaseRecord{Term: l.term}, Version: l.seenVersion}
}

// nextRecord returns the record to write next to acquire or renew the lease.
func (l *Lease) nextRecord() LeaseRecord {
	l.renewal++
	return LeaseRecord{Holder: l.self, Term: l.term, Renewal: l.renewal}
}

// acquire records that the process holds the lease, from now on.
func (l *Lease) acquire(now time.Duration) {
	l.held = true
	l.needsPlan = true
	l.heldSince = now
}

// drop records that the process does not hold the lease.
func (l *Lease) drop() {
	l.held = false
	l.needsPlan = false
}
