package share

import "time"

// Times of a ledger.
const (
	// Grace is how long a permit outlives its request's deadline, for answers on
	// their way and clocks that don't run alike.
	Grace = time.Second
	// tombstoneLife is how long a late ask for a released permit is recognised.
	tombstoneLife = 10 * time.Second
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
	// InFlight is how many permits of the part are out, this one included.
	InFlight int
}

// Ledger is what a home knows of the requests in flight. It is for one goroutine
// at a time.
type Ledger struct {
	books    map[bookKey]book
	released map[PermitID]time.Time
	swept    time.Time
}

// bookKey names one part of a workspace's bound.
type bookKey struct {
	workspace string
	part      int
}

// book holds the permits of one part that are out, with their ends.
type book map[PermitID]time.Time

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{books: make(map[bookKey]book), released: make(map[PermitID]time.Time)}
}

// Acquire grants a permit if the part's bound allows it. A repeated ask gets the
// same permit; one that comes behind its own release gets none.
func (l *Ledger) Acquire(now time.Time, a Ask) Answer {
	l.sweep(now)
	if _, released := l.released[a.Permit]; released {
		return Answer{}
	}
	key := bookKey{a.Workspace, a.Part}
	b := l.books[key]
	_, known := b[a.Permit]
	if !known && !a.Running && len(b) >= a.Bound {
		b.expire(now)
		if len(b) >= a.Bound {
			return Answer{InFlight: len(b)}
		}
	}
	if b == nil {
		b = make(book)
	}
	l.books[key] = b
	b[a.Permit] = now.Add(a.Life)
	return Answer{Granted: true, InFlight: len(b)}
}

// Release gives a permit back. It may come before its ask, or again.
func (l *Ledger) Release(now time.Time, workspace string, part int, permit PermitID) {
	key := bookKey{workspace, part}
	b := l.books[key]
	delete(b, permit)
	if len(b) == 0 {
		delete(l.books, key)
	}
	l.released[permit] = now.Add(tombstoneLife)
	l.sweep(now)
}

// Permits returns how many permits are out, those that expired and were not
// looked at since included.
func (l *Ledger) Permits() int {
	count := 0
	for _, b := range l.books {
		count += len(b)
	}
	return count
}

// expire drops the permits whose time is over.
func (b book) expire(now time.Time) {
	for permit, end := range b {
		if !now.Before(end) {
			delete(b, permit)
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
		if len(b) == 0 {
			delete(l.books, key)
		}
	}
	for permit, end := range l.released {
		if !now.Before(end) {
			delete(l.released, permit)
		}
	}
}
