// Package era keeps what a process knows of the era of the platform's store, and judges by it whether
// a freshness proof counts for API keys. It does no I/O and uses no clock.
//
// The store may return from an older copy of itself. What it acknowledged since the copy is lost, until
// its writers write it again, and a new era begins. A process hears of an era from the store's responses
// and from other processes.
//
// A proof is a time at which the store's configuration was the one that the process holds. Within an
// era, the store then held everything that it had acknowledged, so the process knows of every key that
// was revoked up to that time. Right after a return that is not so: the store may lack an acknowledged
// configuration that revoked a key, and confirm an earlier one. Why Judge is nevertheless right:
//   - What the store lost is written again within RewriteTime of its return. A process hears of an era
//     after the return, so a proof made RewriteTime after it heard of the era is as good as one before
//     the return. The time at which a process heard of the era only has to be late enough; it need not
//     be that of the return.
//   - A proof is passed on with its standing, and a standing of Settled is a fact about the proof, not
//     about the process that found it: whoever receives it may rely on it.
//   - A proof of an earlier era was made before the store went away. If it is Settled, it stays right:
//     what it covers is known, as a process replaces no configuration by an older one.
//   - A proof of an era that ended before the process found it settled is Held for good: the store may
//     have returned a second time from a copy that lacked the same configuration.
//
// A process that has just started knows no earlier era, and can't tell whether the one that it hears of
// first has just begun. It takes it for a long one, unless it could not reach the store before, or its
// source reports a Held proof. If it starts within RewriteTime of the return, reaches the store at once
// and gets its proofs from the store itself, it counts proofs that it should not: for the rest of that
// time, and for keys whose revocation the store has lost.
package era

import "time"

// RewriteTime is the time after the store's return within which what it lost is written again. Its
// writers take about two seconds; half a second is left for their calls.
const RewriteTime = 2500 * time.Millisecond

// Standing is what is known of a proof.
type Standing int

// The standings.
const (
	// Uncertain: the store has not returned lately, as far as is known. The proof counts.
	Uncertain Standing = iota
	// Settled: what the store lost at its last return was written again when the proof was made. The
	// proof counts.
	Settled
	// Held: the store had just returned when the proof was made. The proof does not count.
	Held
)

// Counts reports whether the proof counts for keys.
func (s Standing) Counts() bool { return s != Held }

// Tracker holds the newest era of the store. Times are those of the boot clock. It is not safe for
// concurrent use.
type Tracker struct {
	newest int64
	// heardAt is the time at which this process first heard of the newest era.
	heardAt time.Duration
	// returned is set if the newest era may have begun less than RewriteTime before heardAt.
	returned bool
	// fromStore is set once the store itself has reported the newest era.
	fromStore bool
	// moved is set until the store at a new address has reported its era, which may be any.
	moved bool
}

// Newest returns the newest era, 0 if none is known.
func (t *Tracker) Newest() int64 { return t.newest }

// Hear records an era, 0 for none, heard at a time from the store or from another process. It reports
// whether the era has risen; the first one is no rise.
func (t *Tracker) Hear(era int64, at time.Duration, fromStore bool) bool {
	anyEra := t.moved && fromStore && era > 0
	if anyEra {
		t.moved = false
	}
	switch {
	case era == t.newest:
		t.fromStore = t.fromStore || fromStore
		return false
	case era < t.newest && !anyEra:
		return false
	}
	rose := t.newest != 0
	t.newest, t.heardAt, t.fromStore = era, at, fromStore
	t.returned = t.returned || rose
	return rose
}

// Move makes the next era that the store reports count, whatever it is: it may be another store.
func (t *Tracker) Move() { t.moved = t.newest != 0 }

// IsForeign reports whether the newest era is that of another store, as the era of the store's own
// response to a call that began at a time shows: the store's era never goes back.
func (t *Tracker) IsForeign(response int64, began time.Duration) bool {
	return response > 0 && response < t.newest && !t.fromStore && t.heardAt < began
}

// CallFailed records that the store could not be reached. If no era is known, the first one may have
// just begun when this process hears of it.
func (t *Tracker) CallFailed() { t.returned = t.returned || t.newest == 0 }

// SettledAt returns the time from which on a proof of the newest era is Settled.
func (t *Tracker) SettledAt() time.Duration {
	if t.newest == 0 {
		return 0
	}
	return t.heardAt + RewriteTime
}

// Judge returns the standing of a proof that was made in an era at a time, and of which another process
// has reported a standing; Uncertain for a proof from the store.
func (t *Tracker) Judge(era int64, at time.Duration, reported Standing) Standing {
	present := era == t.newest
	if present && reported == Held {
		t.returned = true
	}
	switch {
	case reported == Settled, present && at >= t.SettledAt():
		return Settled
	case present && !t.returned:
		return Uncertain
	default:
		return Held
	}
}
