package share

import "time"

// Times of a ledger.
const (
	// Grace is how long a permit outlives its request's deadline, for answers on
	// their way and clocks that don't run alike.
	Grace = time.Second
	// tombstoneLife is how long a late ask for a released permit is recognised.
	tombstoneLife = 10 * time.Second
	// leastHold and mostHold bound how long a refused entry is told not to ask again
	// for the workspace; refusalRate is how many refusals a second a home of one
	// part aims at.
	leastHold   = 250 * time.Millisecond
	mostHold    = 5 * time.Second
	refusalRate = 20
	// sweepEvery is the time between two looks for what has expired.
	sweepEvery = 10 * time.Second
)

// PermitID names a permit. Entries draw it at random.
type PermitID uint64

// Ask asks for a permit.
type Ask struct {
	Workspace string
	// Part is the part of the workspace's bound, and Bound the bound of this part.
	Part  int
	Bound int
	// Permit stays the same when the ask is repeated.
	Permit PermitID
	// Life is how long the permit holds unless it is released.
	Life time.Duration
	// Running is set if the request runs already, by the permit of another home
	// or of none: it is counted without regard to the bound.
	Running bool
}

// Answer is the answer to an Ask.
type Answer struct {
	Granted bool
	// Hold is how long not to ask again, if no permit was granted: the longer, the
	// more refusals the home has to give.
	Hold time.Duration
}

// Ledger is what a home knows of the requests in flight. It is for one goroutine
// at a time.
type Ledger struct {
	books    map[bookKey]*book
	released map[PermitID]time.Time
	swept    time.Time
}

// bookKey names one part of a workspace's bound.
type bookKey struct {
	workspace string
	part      int
}

// book is what is known of one part.
type book struct {
	// permits are those that are out, with their ends.
	permits map[PermitID]time.Time
	// refusals counts since second began, and before in the second before.
	second           time.Time
	refusals, before int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{books: make(map[bookKey]*book), released: make(map[PermitID]time.Time)}
}

// Acquire grants a permit if the part's bound allows it. A repeated ask gets the
// same permit; one that comes behind its own release gets none.
func (l *Ledger) Acquire(now time.Time, a Ask) Answer {
	l.sweep(now)
	if _, released := l.released[a.Permit]; released {
		return Answer{}
	}
	b := l.book(bookKey{a.Workspace, a.Part})
	_, known := b.permits[a.Permit]
	if !known && !a.Running && b.full(now, a.Bound) {
		return Answer{Hold: b.refused(now)}
	}
	b.permits[a.Permit] = now.Add(a.Life)
	return Answer{Granted: true}
}

// book returns the book of a part.
func (l *Ledger) book(key bookKey) *book {
	b, ok := l.books[key]
	if !ok {
		b = &book{permits: make(map[PermitID]time.Time)}
		l.books[key] = b
	}
	return b
}

// full tells whether no further permit is left within bound.
func (b *book) full(now time.Time, bound int) bool {
	if len(b.permits) >= bound {
		b.expire(now)
	}
	return len(b.permits) >= bound
}

// refused counts a refusal and returns its Hold.
func (b *book) refused(now time.Time) time.Duration {
	if age := now.Sub(b.second); age >= time.Second {
		b.before = 0
		if age < 2*time.Second {
			b.before = b.refusals
		}
		b.second, b.refusals = now, 0
	}
	b.refusals++
	hold := time.Duration(max(b.before, b.refusals)) * time.Second / refusalRate
	return min(max(hold, leastHold), mostHold)
}

// Release gives a permit back. It may come before its ask, or again.
func (l *Ledger) Release(now time.Time, workspace string, part int, permit PermitID) {
	if b, ok := l.books[bookKey{workspace, part}]; ok {
		delete(b.permits, permit)
	}
	l.released[permit] = now.Add(tombstoneLife)
	l.sweep(now)
}

// Permits returns how many permits are out, those that expired and were not
// looked at since included.
func (l *Ledger) Permits() int {
	count := 0
	for _, b := range l.books {
		count += len(b.permits)
	}
	return count
}

// expire drops the permits whose time is over.
func (b *book) expire(now time.Time) {
	for permit, end := range b.permits {
		if !now.Before(end) {
			delete(b.permits, permit)
		}
	}
}

// sweep drops all that has expired, now and then.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for key, b := range l.books {
		b.expire(now)
		if len(b.permits) == 0 {
			delete(l.books, key)
		}
	}
	for permit, end := range l.released {
		if !now.Before(end) {
			delete(l.released, permit)
		}
	}
}
