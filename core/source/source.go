// Package source decides from whom a gateway learns what the platform's store holds: from
// the store itself, or from another gateway that passes on what it knows.
//
// In each availability zone the first few members, by the rate of their link and then by
// rendezvous score, read the store; the others follow one of these. Nobody agrees on that:
// each process computes it from the members that it knows, without those that failed it
// lately. Where two processes differ, one more or one fewer reads, or one follows another
// that follows a third; that costs calls or some ms. What must never go wrong does not depend on the choice: each copy
// carries its revision and never goes back (package replica), and each proof of the keys
// carries its time (package gateway/relay).
//
// Load that it answers: a fleet of N gateways in which each follows the store makes calls
// in proportion to N, and to N squared when all are restarted one after the other.
package source

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// Member is one gateway.
type Member struct {
	Name, Zone, Incarnation string
	// LinkMbps is the rate of its machine's network link in Mbit/s. Those with the most read
	// the store, as they pass it on.
	LinkMbps int
}

// Settings are the figures of a Selector.
type Settings struct {
	// FollowersPerReader is how many members of a zone follow one that reads the store: one
	// of so many, and itself, reads.
	FollowersPerReader int
	// StaleAfter is how old the newest proof of a source may be before another one is
	// looked for.
	StaleAfter time.Duration
}

// MaxHops bounds the processes through which a word of the store may come: a reader that
// the store turns away follows a reader elsewhere, and is followed itself.
const MaxHops = 2

// Timing of the choice.
const (
	// lostRest is how long a source that broke off or can't be reached is passed over at
	// first, and staleRest one whose word is old: the time in which the store may come back
	// to it. Each further time it is twice as long, up to longestRest: one that is gone for
	// good stays a member.
	lostRest    = 3 * time.Second
	staleRest   = 6 * time.Second
	longestRest = 30 * time.Second
	// quietAfter is when a source that has said nothing counts as lost, if its word is old
	// too: it says something every 0.75 s.
	quietAfter = time.Second
	// refusedRest is the first rest of one that refused within refusedWithin, a round trip
	// and a busy processor: its machine is there, and its process may be about to start, as
	// this one did. A fleet that lost all of its processes knows its configuration sooner so.
	refusedRest   = 150 * time.Millisecond
	refusedWithin = 100 * time.Millisecond
	// staleGrace is how long one that was just chosen may still be stale: it may have lost its
	// own source at the same moment, and be about to read.
	staleGrace = 300 * time.Millisecond
	// firstSwitch is the least time between two sources that are left for being stale,
	// doubled up to longestSwitch while none is better: in an outage of the store all are.
	firstSwitch   = 500 * time.Millisecond
	longestSwitch = 2 * time.Second
	// quickSwitches is how many sources that say that the store does not answer them are left
	// without a pause before one is found that it does: the store may turn some machines away
	// and serve the others, and what is in force at those must be so here too.
	quickSwitches = 4
	// aloneAfter is how long a process without a good source waits before it asks the
	// store itself, and aloneSpread by how much more for each member, by a hash of its
	// incarnation, up to longestSpread: of a hundred that lose their source at once 100 ask in a
	// second. With 1.2 s after which a source is stale, and a fleet of 25, that stays within 2 s.
	aloneAfter    = 300 * time.Millisecond
	aloneSpread   = 10 * time.Millisecond
	longestSpread = time.Second
	// newAfter and newSpread are the same for one that has known nothing yet, and refuses
	// requests until it does.
	newAfter  = 300 * time.Millisecond
	newSpread = 300 * time.Millisecond
	// tryFor is how long it then asks, time for a call and its timeout, and firstPause the
	// pause after a try that failed, doubled up to longestPause: in an outage of 14 s a
	// process makes two tries.
	tryFor       = time.Second
	firstPause   = 10 * time.Second
	longestPause = 20 * time.Second
)

// Reason tells why a plan is as it is.
type Reason string

// The reasons.
const (
	// Reader: this process is one of its zone's readers.
	Reader Reason = "reader"
	// ReaderStale: it is, but the store does not answer it, and it follows another one too.
	ReaderStale Reason = "reader_stale"
	// Follower: it follows a source whose word is fresh.
	Follower Reason = "follower"
	// Seeking: it has no source with a fresh word and looks for one.
	Seeking Reason = "seeking"
	// Alone: it has found none and asks the store itself.
	Alone Reason = "alone"
)

// Plan is what a process does from now on.
type Plan struct {
	// Read is set if it follows the store.
	Read bool
	// Follow is the member that it follows; without a name, none.
	Follow Member
	Reason Reason
}

// Selector holds what a process knows of its sources. Times are those of the boot clock.
// It is not safe for concurrent use.
type Selector struct {
	settings Settings
	self     Member
	members  []Member
	// zones holds the members of each zone, this process too, the first to read first.
	zones map[string][]Member
	rests map[string]rest

	current source
	// switchAt is when a stale source may be left, and switchPause the time until the next.
	switchAt, switchPause time.Duration
	// quick is how many sources may still be left at once for failing.
	quick int

	// storeProved is the time of the store's newest proof to this process itself.
	storeProved time.Duration
	// readSince is when this process began to read as one of its zone's readers.
	readSince time.Duration
	reading   bool

	// good is when a source or the store last was fresh; tries are counted from then. Before
	// the first time it is the start, and new is set.
	good     time.Duration
	new      bool
	tryUntil time.Duration
	tryPause time.Duration
}

// rest is for how long a member is passed over.
type rest struct {
	until, length time.Duration
	// lost is set for one that broke off or could not be reached, not for one whose word was
	// old.
	lost bool
}

// source is the member that is followed.
type source struct {
	Member
	// since is when it was chosen.
	since time.Duration
	// heard is set once it has said how fresh its word is.
	heard   bool
	heardAt time.Duration
	proved  time.Duration
	hops    int
	// failing is set while the store does not answer it.
	failing bool
	// probe is set for one that is no reader and is only tried.
	probe bool
}

// Never is a time before all others: that of a proof that was not made.
const Never = time.Duration(-1 << 62)

// New returns a Selector of the process self that knows no other member.
func New(self Member, settings Settings, now time.Duration) *Selector {
	s := &Selector{
		settings:    settings,
		self:        self,
		rests:       make(map[string]rest),
		storeProved: Never,
		switchPause: firstSwitch,
		quick:       quickSwitches,
		good:        now,
		new:         true,
		tryPause:    firstPause,
	}
	s.SetMembers(nil)
	return s
}

// SetMembers takes over the other members. The slice must not be changed afterwards.
func (s *Selector) SetMembers(members []Member) {
	s.members = members
	s.zones = byZone(append([]Member{s.self}, members...))
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Incarnation] = true
	}
	for incarnation := range s.rests {
		if !known[incarnation] {
			delete(s.rests, incarnation)
		}
	}
	if !known[s.current.Incarnation] {
		s.current = source{}
	}
}

// SetStaleAfter takes over a changed setting.
func (s *Selector) SetStaleAfter(age time.Duration) { s.settings.StaleAfter = age }

// StoreProved notes a proof that the store gave this process itself.
func (s *Selector) StoreProved(at time.Duration) { s.storeProved = max(s.storeProved, at) }

// Word is what a source says of what it knows.
type Word struct {
	// Incarnation is the source's.
	Incarnation string
	// Proved is the time of its newest proof, Never if it has none.
	Proved time.Duration
	// Hops is through how many processes that had come before it.
	Hops int
	// Failing is set if it reads the store, and the store does not answer it.
	Failing bool
}

// Heard notes a word of the followed member.
func (s *Selector) Heard(w Word, now time.Duration) {
	if w.Incarnation != s.current.Incarnation {
		return
	}
	s.current.heard, s.current.heardAt = true, now
	s.current.proved, s.current.hops, s.current.failing = w.Proved, w.Hops, w.Failing
}

// Filling notes that the followed member sends a long list, of which more is to come: no
// other one is looked for meanwhile.
func (s *Selector) Filling(incarnation string, now time.Duration) {
	if incarnation == s.current.Incarnation {
		s.good, s.tryUntil = now, 0
	}
}

// Lost notes that the followed member could not be reached, or broke off.
func (s *Selector) Lost(incarnation string, now time.Duration) {
	if incarnation != s.current.Incarnation {
		return
	}
	if !s.current.heard && now-s.current.since < refusedWithin {
		s.passOver(refusedRest, true, now)
		return
	}
	s.passOver(lostRest, true, now)
}

// passOver leaves the followed member, for longer each time that no fresh word of it came
// between.
func (s *Selector) passOver(least time.Duration, lost bool, now time.Duration) {
	length := min(max(least, 2*s.rests[s.current.Incarnation].length), longestRest)
	s.rests[s.current.Incarnation] = rest{until: now + length, length: length, lost: lost}
	s.current = source{}
}

// Next returns what to do from now on.
func (s *Selector) Next(now time.Duration) Plan {
	if s.isReader(now) {
		return s.asReader(now)
	}
	s.reading = false
	s.follow(now)
	plan := Plan{Follow: s.current.Member, Reason: Seeking}
	switch {
	case s.currentGood(now) && !(s.fresh(s.storeProved, now) && s.mayFollowBack()):
		s.foundGood(now)
		plan.Reason = Follower
	case s.fresh(s.storeProved, now):
		s.foundGood(now)
		plan.Read, plan.Reason = true, Alone
	case s.tries(now):
		plan.Read, plan.Reason = true, Alone
	}
	return plan
}

// asReader is the plan of one of the zone's readers. It follows another one only while the
// store gives it no proof, and has had the time to.
func (s *Selector) asReader(now time.Duration) Plan {
	if !s.reading {
		s.reading, s.readSince = true, now
	}
	if s.fresh(s.storeProved, now) || s.fresh(s.readSince, now) {
		s.current = source{}
		s.foundGood(now)
		return Plan{Read: true, Reason: Reader}
	}
	s.follow(now)
	if s.currentGood(now) {
		s.foundGood(now)
	}
	return Plan{Read: true, Follow: s.current.Member, Reason: ReaderStale}
}

// fresh tells whether a proof of a time is one that leaves nothing to look for.
func (s *Selector) fresh(at, now time.Duration) bool { return now-at <= s.settings.StaleAfter }

// currentGood tells whether the followed member has said something fresh.
func (s *Selector) currentGood(now time.Duration) bool {
	return s.current.heard && !s.current.failing && s.current.hops < MaxHops && s.fresh(s.current.proved, now)
}

// mayFollowBack tells whether the followed member could be one that follows this process,
// or comes to: two that read the store alone must not both stop for the other.
func (s *Selector) mayFollowBack() bool {
	if s.current.hops > 0 {
		return true
	}
	return s.current.Name > s.self.Name && !contains(s.readers(s.current.Zone, s.current.heardAt), s.current.Member)
}

// foundGood notes that there is a good source.
func (s *Selector) foundGood(now time.Duration) {
	s.good, s.new = now, false
	if s.currentGood(now) {
		delete(s.rests, s.current.Incarnation)
	}
	s.switchPause, s.switchAt, s.quick = firstSwitch, now, quickSwitches
	s.tryPause, s.tryUntil = firstPause, 0
}

// tries tells whether a process without a source asks the store itself now.
func (s *Selector) tries(now time.Duration) bool {
	if s.tryUntil == 0 {
		after, within := aloneAfter, min(aloneSpread*time.Duration(len(s.members)+1), longestSpread)
		if s.new {
			after, within = newAfter, newSpread
		}
		s.tryUntil = s.good + after + s.spread(within) + tryFor
	}
	if now >= s.tryUntil {
		s.tryUntil = now + s.tryPause/2 + s.spread(s.tryPause) + tryFor
		s.tryPause = min(2*s.tryPause, longestPause)
	}
	return now >= s.tryUntil-tryFor
}

// spread returns this process's own part of a time.
func (s *Selector) spread(within time.Duration) time.Duration {
	return time.Duration(rendezvous.Hash(s.self.Incarnation) % uint64(within))
}

// isReader tells whether this process is one of its zone's readers.
func (s *Selector) isReader(now time.Duration) bool {
	return contains(s.readers(s.self.Zone, now), s.self)
}
