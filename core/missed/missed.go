// Package missed finds changes of the store that a watch did not return. The store numbers all its
// changes with one counter, and each of its answers names the newest revision. A revision that
// follows the last answer of a watch, and that no watch of another kind has returned, may be a
// change that this watch should have returned: its call may have got lost, and would hide every
// further change until its timeout.
//
// Ledger is a pure state machine. Two invariants hold:
//
//   - A kind is up to date at least to its known revision: an answer of its watch proved it.
//   - seen holds revisions of changes that were returned, each once, in order, all above floor.
package missed

import (
	"slices"

	"acaciawinch/core/replica"
)

// maxSeen bounds the revisions that a Ledger keeps. Those that are dropped count as missed, which
// costs calls and hides nothing.
const maxSeen = 8192

// Ledger records which changes the watches of a store have returned. It is not safe for concurrent
// use.
type Ledger struct {
	// era is the store's era, to which all revisions belong.
	era    int64
	newest int64
	seen   []int64
	kinds  map[string]*progress
}

// progress is how far the watch of a kind has come.
type progress struct {
	// known is the revision up to which the kind is up to date.
	known int64
	// newestAtCall is the newest revision that was known when the present call began.
	newestAtCall int64
}

// New returns a Ledger without kinds.
func New() *Ledger { return &Ledger{kinds: make(map[string]*progress)} }

// Began records that a call for a kind begins after a position. Positions of an earlier era are
// ignored.
func (l *Ledger) Began(kind string, after replica.Position) {
	if !l.enter(after.Era) {
		return
	}
	p := l.kinds[kind]
	if p == nil {
		p = &progress{}
		l.kinds[kind] = p
	}
	p.known = max(p.known, after.Revision)
	p.newestAtCall = l.newest
	l.newest = max(l.newest, after.Revision)
}

// Answered records the answer to the present call for a kind: the position up to which it is
// complete, and the revisions of the changes in it. An answer without changes proves all that the
// store had done before the call began, as the store's answers are linearizable.
func (l *Ledger) Answered(kind string, end replica.Position, changes []int64) {
	if !l.enter(end.Era) {
		return
	}
	p := l.kinds[kind]
	if p == nil { // the call began in an earlier era
		return
	}
	p.known = max(p.known, end.Revision)
	if len(changes) == 0 {
		p.known = max(p.known, p.newestAtCall)
	}
	l.newest = max(l.newest, end.Revision)
	for _, revision := range changes {
		l.insert(revision)
	}
	l.prune()
}

// enter forgets everything if an era is later than the present one, and reports whether it is not
// earlier.
func (l *Ledger) enter(era int64) bool {
	if era > l.era {
		*l = Ledger{era: era, kinds: make(map[string]*progress)}
	}
	return era == l.era
}

// insert adds a revision to seen.
func (l *Ledger) insert(revision int64) {
	at, found := slices.BinarySearch(l.seen, revision)
	if !found {
		l.seen = slices.Insert(l.seen, at, revision)
	}
}

// prune drops the revisions that no kind needs any more.
func (l *Ledger) prune() {
	least := l.newest
	for _, p := range l.kinds {
		least = min(least, p.known)
	}
	drop := max(l.seenUpTo(least), len(l.seen)-maxSeen)
	l.seen = slices.Delete(l.seen, 0, drop)
}

// seenUpTo returns how many of the revisions in seen are at most revision.
func (l *Ledger) seenUpTo(revision int64) int {
	at, found := slices.BinarySearch(l.seen, revision)
	if found {
		at++
	}
	return at
}

// Newest returns the newest revision that the store has named.
func (l *Ledger) Newest() int64 { return l.newest }

// Missed reports whether the store made a change up to a revision that neither the watch of a kind
// nor another one has returned. It reports false for a kind without calls.
func (l *Ledger) Missed(kind string, upTo int64) bool {
	p := l.kinds[kind]
	if p == nil || upTo <= p.known {
		return false
	}
	return int64(l.seenUpTo(upTo)-l.seenUpTo(p.known)) < upTo-p.known
}
