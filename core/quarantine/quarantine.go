// Package quarantine decides which requests are no longer sent because upstreams crash under
// them. Requests are known by their fingerprints, so that further attempts of a client count
// with the first, through whichever gateway they come.
//
// Each gateway keeps a Record of the crashes that it saw and of those that it has cleared, and
// publishes it; each one merges the records of all. A record has one writer and is replaced as a
// whole, so that records need no order among each other: the merged crashes are the union of all
// crashes without the union of all that was cleared.
//
// Why the bound holds: a fingerprint under which crashLimit starts of upstreams have crashed is sent
// by nobody who knows of these crashes. Who does not know them yet sends at most what it gets
// until the records arrive. After that only trials are sent, each held by the gateway that has
// created its object in the store.
//
// Why others are spared: many requests run at an upstream that crashes, and all of them count as
// suspect. One that then runs to its end anywhere clears itself of all crashes known, and an
// upstream that answers again, as after a cut of its links, clears all that ran there. A single crash
// keeps nothing from being sent. A request that any gateway has seen run well before is tried
// sooner and has more trials: upstreams that crash together break off such requests at several.
//
// The package does no I/O and knows no wall clock: times are those since the machine's start.
// It is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Figures of the decision.
const (
	// crashLimit is under how many crashes a request is refused. With one, all that ran beside a
	// crash would be refused.
	crashLimit = 2
	// noTrial is when a client whose request gets no more trials is asked to come back.
	noTrial = time.Minute
	// settleFor is how long after a crash further attempts of its request wait: the other
	// gateways' words of other crashes arrive meanwhile, so that a client which comes again
	// at once through one gateway after the other doesn't outrun them.
	settleFor = 300 * time.Millisecond
	// keepFor is how long a crash counts.
	keepFor = time.Hour
	// mostCrashes bounds the crashes of a record, some 80 bytes each; the oldest go first.
	mostCrashes = 512
	// mostProven bounds the requests that a gateway remembers to have run well, some 60 bytes
	// each; the oldest go first.
	mostProven = 4096
)

// Crash is the end of one start of an upstream while a request ran there.
type Crash struct {
	Request fingerprint.Fingerprint
	// Upstream names the start.
	Upstream string
}

// Record is what one gateway tells the others.
type Record struct {
	// Crashes are those that it saw, oldest first.
	Crashes []Crash
	// Cleared are crashes that others saw and whose request has run to its end since.
	Cleared []Crash
	// Proven are requests that ran well before they would have been refused.
	Proven []fingerprint.Fingerprint
}

// Book holds what one gateway knows.
type Book struct {
	self string
	own  Record
	// adopted is set once the record of an earlier start of this gateway was taken over, or
	// there was none.
	adopted bool
	// records holds those of the other gateways, by their names.
	records map[string]Record
	// unconfirmed are crashes of which it is not known yet whether the upstream has ended.
	unconfirmed map[Crash]bool
	// merged is what all of these say together.
	merged merged
	// ranWell remembers requests that ran to their end here.
	ranWell memory
	// trials holds the newest trial of each request that is known.
	trials map[fingerprint.Fingerprint]Trial
	// due is when the own record must be written, below 0 if it need not.
	due time.Duration
}

// New returns the Book of the gateway self, which knows nothing.
func New(self string) *Book {
	return &Book{
		self:        self,
		records:     make(map[string]Record),
		unconfirmed: make(map[Crash]bool),
		merged:      newMerged(),
		ranWell:     newMemory(mostProven),
		trials:      make(map[fingerprint.Fingerprint]Trial),
		due:         never,
	}
}

// Verdict is what becomes of a request.
type Verdict struct {
	// Crashes is under how many starts of upstreams it was.
	Crashes int
	// Refused is set if it must not be sent, unless a trial is made.
	Refused bool
	// Unsure is set if it is refused for crashes of which some are not confirmed yet, without
	// which it would not be.
	Unsure bool
	// Trial is the number of the trial that may be made now, from 1; 0 if none may.
	Trial int
	// RetryAfter is when a refused request may be sent.
	RetryAfter time.Duration
}

// Judge returns what becomes of a request now.
func (b *Book) Judge(request fingerprint.Fingerprint, now time.Duration) Verdict {
	crashes := b.merged.suspects[request]
	verdict := Verdict{Crashes: len(crashes), Refused: len(crashes) >= crashLimit}
	if !verdict.Refused {
		return verdict
	}
	verdict.Unsure = len(crashes)-b.unconfirmedOf(crashes) < crashLimit
	due, has := b.trialDue(request)
	if !has {
		verdict.RetryAfter = noTrial
		return verdict
	}
	left := due - now
	if left <= 0 {
		verdict.Trial = b.trials[request].Number + 1
		return verdict
	}
	verdict.RetryAfter = min(left, firstTrial) // a trial that is under way may clear it any time
	return verdict
}

// IsProven tells whether a request is known to have run well before.
func (b *Book) IsProven(request fingerprint.Fingerprint) bool {
	return b.merged.proven[request] > 0 || b.ranWell.has(request)
}

// unconfirmedOf returns how many of the crashes are not confirmed yet.
func (b *Book) unconfirmedOf(crashes []Crash) int {
	count := 0
	for _, crash := range crashes {
		if b.unconfirmed[crash] {
			count++
		}
	}
	return count
}

// Settle returns how long a further attempt of a request must wait before it is judged.
func (b *Book) Settle(request fingerprint.Fingerprint, now time.Duration) time.Duration {
	crashes := b.merged.suspects[request]
	if len(crashes) == 0 || b.IsProven(request) {
		return 0
	}
	return max(0, b.newest(crashes)+settleFor-now)
}

// newest returns when the last of the crashes became known.
func (b *Book) newest(crashes []Crash) time.Duration {
	var at time.Duration
	for _, crash := range crashes {
		at = max(at, b.merged.learnedAt(crash))
	}
	return at
}

// Suspect records that an upstream may have ended while a request ran there. It counts here
// at once, and is published once it is confirmed.
func (b *Book) Suspect(crash Crash, now time.Duration) {
	if b.unconfirmed[crash] || slices.Contains(b.own.Crashes, crash) {
		return
	}
	b.unconfirmed[crash] = true
	b.merged.tell(crash, 1)
	b.changed(now, crash)
}

// Confirm records that the upstream of a suspected crash has ended.
func (b *Book) Confirm(crash Crash, now time.Duration) {
	if !b.unconfirmed[crash] {
		return // its request has run to its end meanwhile
	}
	delete(b.unconfirmed, crash)
	b.own.Crashes = append(b.own.Crashes, crash)
	touched := []Crash{crash}
	for len(b.own.Crashes) > mostCrashes {
		oldest := b.own.Crashes[0]
		b.own.Crashes = slices.Delete(b.own.Crashes, 0, 1)
		b.merged.tell(oldest, -1)
		touched = append(touched, oldest)
	}
	b.changed(now, touched...)
	b.publish(now)
}

// Dismiss records that the upstream of a suspected crash goes on.
func (b *Book) Dismiss(crash Crash, now time.Duration) {
	b.trust(crash)
	b.changed(now, crash)
}

// trust drops the suspicion of a crash, if there is any.
func (b *Book) trust(crash Crash) {
	if b.unconfirmed[crash] {
		delete(b.unconfirmed, crash)
		b.merged.tell(crash, -1)
	}
}

// Completed records that a request has run to its end: no crash known is its doing. It returns
// whether there was any.
func (b *Book) Completed(request fingerprint.Fingerprint, now time.Duration) bool {
	b.ranWell.add(request)
	crashes := slices.Clone(b.merged.suspects[request]) // clearing changes the list
	if len(crashes) == 0 {
		return false
	}
	delete(b.trials, request)
	b.clear(crashes, len(crashes) >= crashLimit, now)
	return true
}

// Quiet tells whether no upstream counts as crashed.
func (b *Book) Quiet() bool { return len(b.merged.ended) == 0 }

// Answered records that a start of an upstream has answered a request that was sent at a time: it
// had not ended by then. It returns whether that was believed.
func (b *Book) Answered(upstream string, sent, now time.Duration) bool {
	var wrong []Crash
	refused := false
	for _, crash := range b.merged.ended[upstream] {
		if b.merged.learnedAt(crash) < sent {
			wrong = append(wrong, crash)
			refused = refused || len(b.merged.suspects[crash.Request]) >= crashLimit
		}
	}
	if len(wrong) > 0 {
		b.clear(wrong, refused, now)
	}
	return len(wrong) > 0
}

// clear takes crashes back. With urgent set a request is refused for them elsewhere.
func (b *Book) clear(crashes []Crash, urgent bool, now time.Duration) {
	for _, crash := range crashes {
		b.trust(crash)
		if !slices.Contains(b.own.Cleared, crash) {
			b.own.Cleared = append(b.own.Cleared, crash)
			b.merged.clear(crash, 1)
		}
	}
	b.changed(now, crashes...)
	if urgent {
		b.publish(now)
	} else {
		b.publish(now + tidyAfter)
	}
}
