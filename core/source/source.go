// Package source decides from where a gateway receives the contents of the platform's store. A
// reader watches the store itself; a follower receives updates from another gateway, its source,
// which passes them on.
//
// In each availability zone the first few members, by the rate of their link and then by rendezvous
// score, are readers; the others each follow a reader. There is no agreement between the processes:
// each computes the choice from the members that it knows, without those that failed it recently.
// If two processes differ, there is a reader more or less, or a process follows a follower; that
// costs calls or some ms. Correctness does not depend on the choice: each copy carries its position
// and never goes back (package replica), and each proof carries its time (package gateway/relay). A
// proof is the time up to which a gateway knows what the store held; an update is fresh while its
// proof is younger than Settings.StaleAfter. That the proof does not count for API keys yet, because
// the store has just returned from a copy (package era), makes no difference here: no other source
// would have a better one.
//
// Why not all gateways read the store: a fleet of N gateways that all watch the store makes calls
// in proportion to N, and to N squared when all are restarted one after the other.
package source

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// Member is one gateway.
type Member struct {
	Name, Zone, Incarnation string
	// LinkMbps is the rate of its machine's network link in Mbit/s. Members with the fastest links
	// read the store, as they pass updates on.
	LinkMbps int
}

// Settings configures a Selector.
type Settings struct {
	// FollowersPerReader is how many members of a zone follow one reader: of each
	// FollowersPerReader+1 members, one reads the store.
	FollowersPerReader int
	// StaleAfter is the age of a source's newest proof from which on another source is sought.
	StaleAfter time.Duration
}

// MaxHops bounds the processes through which an update of the store may pass: a reader that the
// store rejects follows a reader elsewhere, and is followed itself.
const MaxHops = 2

// Timing of the choice.
const (
	// lostBackoff is the first backoff of a source that closed the connection or can't be reached,
	// staleBackoff that of a source whose updates are stale: the time in which it may reach the
	// store again. The backoff doubles each time, up to maxBackoff, since a source that has ended
	// for good stays a member for a while.
	lostBackoff  = 3 * time.Second
	staleBackoff = 6 * time.Second
	maxBackoff   = 30 * time.Second
	// silentAfter is the silence after which a source counts as lost, if its last update is stale
	// too. A source sends an update every 0.75 s.
	silentAfter = time.Second
	// refusedBackoff is the first backoff of a source that refused the connection within
	// refusedWithin, which allows for a round trip and a busy processor: its machine is up and its
	// process may be about to start, as this one did. A fleet that lost all of its processes loads
	// its configuration sooner this way.
	refusedBackoff = 150 * time.Millisecond
	refusedWithin  = 100 * time.Millisecond
	// staleGrace is how long a source that was just chosen may be stale: it may have lost its own
	// source at the same moment and be about to read the store.
	staleGrace = 300 * time.Millisecond
	// minSwitchInterval is the least time between two switches away from a stale source. It doubles
	// up to maxSwitchInterval while no fresh source is found: in an outage of the store all are
	// stale.
	minSwitchInterval = 500 * time.Millisecond
	maxSwitchInterval = 2 * time.Second
	// immediateSwitches is how many sources that report a failing store are left without delay
	// before one with a working store is found: the store may reject some machines and serve
	// others, and changes that are in force there must reach this process too.
	immediateSwitches = 4
	// fallbackAfter is how long a process without a fresh source waits before it queries the store
	// itself. It adds a jitter by the hash of its incarnation, of up to fallbackJitterPerMember for
	// each member and at most maxFallbackJitter: 100 processes that lose their source at once query
	// the store within a second. With a StaleAfter of 1.2 s and a fleet of 25 the query happens
	// within 2 s.
	fallbackAfter           = 300 * time.Millisecond
	fallbackJitterPerMember = 10 * time.Millisecond
	maxFallbackJitter       = time.Second
	// initialFallbackAfter and initialFallbackJitter apply to a process that has had no state yet,
	// and refuses requests until it has.
	initialFallbackAfter  = 300 * time.Millisecond
	initialFallbackJitter = 300 * time.Millisecond
	// tryDuration is how long one try lasts, in which a process without a fresh source queries the
	// store itself: time for a call and its timeout. minTryBackoff is the backoff after a failed
	// try, doubled up to maxTryBackoff. In an outage of 14 s a process makes two tries.
	tryDuration   = time.Second
	minTryBackoff = 10 * time.Second
	maxTryBackoff = 20 * time.Second
)

// Reason is the reason for a Plan.
type Reason string

// The reasons.
const (
	// Reader: this process is one of its zone's readers.
	Reader Reason = "reader"
	// ReaderStale: it is a reader, but the store does not respond, and it also follows another
	// member.
	ReaderStale Reason = "reader_stale"
	// Follower: it follows a source whose updates are fresh.
	Follower Reason = "follower"
	// Seeking: it has no source with fresh updates and looks for one.
	Seeking Reason = "seeking"
	// Alone: it has found no fresh source and queries the store itself.
	Alone Reason = "alone"
)

// Plan is what a process does from now on.
type Plan struct {
	// Read is set if the process watches the store.
	Read bool
	// Follow is the member that the process follows; its name is empty if there is none.
	Follow Member
	Reason Reason
}

// Selector chooses the sources of one process. Times are those of the boot clock. It is not safe
// for concurrent use.
type Selector struct {
	settings Settings
	self     Member
	members  []Member
	// zones holds the members of each zone, including this process, in the order of the readers.
	zones    map[string][]Member
	backoffs map[string]backoff

	current source
	// switchAt is when a stale source may be left, and switchInterval the time until the next
	// switch.
	switchAt, switchInterval time.Duration
	// switchesLeft is how many failing sources may still be left without delay.
	switchesLeft int

	// storeProved is the time of the newest proof that this process read from the store itself.
	storeProved time.Duration
	// readSince is when this process became one of its zone's readers.
	readSince time.Duration
	reading   bool

	// lastGood is when a source or the store was last fresh; the first try is timed from then.
	// Until the first time it is the start time, and initial is set.
	lastGood time.Duration
	initial  bool
	// tryUntil is the end of the present or next try, in which the process queries the store
	// itself; 0 if none is planned.
	tryUntil   time.Duration
	tryBackoff time.Duration
}

// backoff is the time in which a member is not chosen.
type backoff struct {
	until, length time.Duration
	// lost is set if the member closed the connection or could not be reached, and not set if its
	// updates were stale.
	lost bool
}

// source is the member that is followed.
type source struct {
	Member
	// chosenAt is when the source was chosen.
	chosenAt time.Duration
	// reported is set once the source has reported its newest proof.
	reported   bool
	reportedAt time.Duration
	proved     time.Duration
	hops       int
	// failing is set while the store does not respond to the source.
	failing bool
	// probe is set for a member that is not a reader: it is left at its first report unless that is
	// fresh.
	probe bool
}

// Never is a time before all others, used in place of the time of a missing proof.
const Never = time.Duration(-1 << 62)

// New returns a Selector of the process self without other members.
func New(self Member, settings Settings, now time.Duration) *Selector {
	s := &Selector{
		settings:       settings,
		self:           self,
		backoffs:       make(map[string]backoff),
		storeProved:    Never,
		switchInterval: minSwitchInterval,
		switchesLeft:   immediateSwitches,
		lastGood:       now,
		initial:        true,
		tryBackoff:     minTryBackoff,
	}
	s.SetMembers(nil)
	return s
}

// SetMembers replaces the other members. The slice must not be changed afterwards.
func (s *Selector) SetMembers(members []Member) {
	s.members = members
	s.zones = byZone(append([]Member{s.self}, members...))
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Incarnation] = true
	}
	for incarnation := range s.backoffs {
		if !known[incarnation] {
			delete(s.backoffs, incarnation)
		}
	}
	if !known[s.current.Incarnation] {
		s.current = source{}
	}
}

// SetStaleAfter changes Settings.StaleAfter.
func (s *Selector) SetStaleAfter(age time.Duration) { s.settings.StaleAfter = age }

// StoreProved records a proof that this process read from the store itself.
func (s *Selector) StoreProved(at time.Duration) { s.storeProved = max(s.storeProved, at) }

// Report is a source's report on the state of its copy.
type Report struct {
	// Incarnation is the source's incarnation.
	Incarnation string
	// Proved is the time of the source's newest proof, Never if it has none.
	Proved time.Duration
	// Hops is the number of processes that the proof passed through before the source.
	Hops int
	// Failing is set if the source reads the store and the store does not respond.
	Failing bool
}

// RecordReport records a report of the followed member.
func (s *Selector) RecordReport(report Report, now time.Duration) {
	if report.Incarnation != s.current.Incarnation {
		return
	}
	s.current.reported, s.current.reportedAt = true, now
	s.current.proved, s.current.hops, s.current.failing = report.Proved, report.Hops, report.Failing
}

// Loading records that the followed member is sending a long list that is not complete yet. No
// other source is sought meanwhile.
func (s *Selector) Loading(incarnation string, now time.Duration) {
	if incarnation == s.current.Incarnation {
		s.lastGood, s.tryUntil = now, 0
	}
}

// Lost records that the followed member could not be reached or closed the connection.
func (s *Selector) Lost(incarnation string, now time.Duration) {
	if incarnation != s.current.Incarnation {
		return
	}
	if !s.current.reported && now-s.current.chosenAt < refusedWithin {
		s.backOff(refusedBackoff, true, now)
		return
	}
	s.backOff(lostBackoff, true, now)
}

// backOff stops following the followed member and does not choose it again for a while: at first
// for the time shortest, then twice as long each time until a fresh update of the member arrives.
func (s *Selector) backOff(shortest time.Duration, lost bool, now time.Duration) {
	length := min(max(shortest, 2*s.backoffs[s.current.Incarnation].length), maxBackoff)
	s.backoffs[s.current.Incarnation] = backoff{until: now + length, length: length, lost: lost}
	s.current = source{}
}

// Next returns the plan from now on.
func (s *Selector) Next(now time.Duration) Plan {
	if s.isReader(now) {
		return s.readerPlan(now)
	}
	s.reading = false
	s.follow(now)
	plan := Plan{Follow: s.current.Member, Reason: Seeking}
	switch {
	case s.currentFresh(now) && !(s.fresh(s.storeProved, now) && s.mayFollowSelf()):
		s.markGood(now)
		plan.Reason = Follower
	case s.fresh(s.storeProved, now):
		s.markGood(now)
		plan.Read, plan.Reason = true, Alone
	case s.triesStore(now):
		plan.Read, plan.Reason = true, Alone
	}
	return plan
}

// readerPlan is the plan of one of the zone's readers. It follows another member only while the
// store has given it no proof within StaleAfter.
func (s *Selector) readerPlan(now time.Duration) Plan {
	if !s.reading {
		s.reading, s.readSince = true, now
	}
	if s.fresh(s.storeProved, now) || s.fresh(s.readSince, now) {
		s.current = source{}
		s.markGood(now)
		return Plan{Read: true, Reason: Reader}
	}
	s.follow(now)
	if s.currentFresh(now) {
		s.markGood(now)
	}
	return Plan{Read: true, Follow: s.current.Member, Reason: ReaderStale}
}

// fresh reports whether a proof of a time is recent enough that no other source is sought.
func (s *Selector) fresh(at, now time.Duration) bool { return now-at <= s.settings.StaleAfter }

// currentFresh reports whether the followed member has reported a fresh proof and may be followed.
func (s *Selector) currentFresh(now time.Duration) bool {
	return s.current.reported && !s.current.failing && s.current.hops < MaxHops && s.fresh(s.current.proved, now)
}

// mayFollowSelf reports whether the followed member may follow this process, now or later. Two
// processes that query the store as a fallback must not both stop in order to follow each other.
func (s *Selector) mayFollowSelf() bool {
	if s.current.hops > 0 {
		return true
	}
	return s.current.Name > s.self.Name && !contains(s.readers(s.current.Zone, s.current.reportedAt), s.current.Member)
}

// markGood records that a source or the store is fresh, and resets the backoffs.
func (s *Selector) markGood(now time.Duration) {
	s.lastGood, s.initial = now, false
	if s.currentFresh(now) {
		delete(s.backoffs, s.current.Incarnation)
	}
	s.switchInterval, s.switchAt, s.switchesLeft = minSwitchInterval, now, immediateSwitches
	s.tryBackoff, s.tryUntil = minTryBackoff, 0
}

// triesStore reports whether a process without a fresh source queries the store itself now.
func (s *Selector) triesStore(now time.Duration) bool {
	if s.tryUntil == 0 {
		delay, jitterRange := fallbackAfter, min(fallbackJitterPerMember*time.Duration(len(s.members)+1), maxFallbackJitter)
		if s.initial {
			delay, jitterRange = initialFallbackAfter, initialFallbackJitter
		}
		s.tryUntil = s.lastGood + delay + s.jitter(jitterRange) + tryDuration
	}
	if now >= s.tryUntil {
		s.tryUntil = now + s.tryBackoff/2 + s.jitter(s.tryBackoff) + tryDuration
		s.tryBackoff = min(2*s.tryBackoff, maxTryBackoff)
	}
	return now >= s.tryUntil-tryDuration
}

// jitter returns this process's jitter, between 0 and within, by the hash of its incarnation.
func (s *Selector) jitter(within time.Duration) time.Duration {
	return time.Duration(rendezvous.Hash(s.self.Incarnation) % uint64(within))
}

// isReader reports whether this process is one of its zone's readers.
func (s *Selector) isReader(now time.Duration) bool {
	return contains(s.readers(s.self.Zone, now), s.self)
}
