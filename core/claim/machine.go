package claim

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core/fault"
)

// goal is what a machine was made for.
type goal int

const (
	// goalRun wants to own an attempt.
	goalRun goal = iota
	// goalReassign wants to replace its own attempt, which was proved not run.
	goalReassign
	// goalRelease wants to end its own attempt, without another.
	goalRelease
	// goalLook wants to know what became of the claim, without an attempt.
	goalLook
)

// pendingWrite is a conditional update whose answer may have been lost.
type pendingWrite struct {
	record  Record
	version uint64
}

// Machine carries one ask through the claim protocol. The driver makes the call
// that Next returns and hands in the answer, until the call is CallNone. It does
// no I/O and is for one goroutine.
type Machine struct {
	ask   Ask
	rules Rules
	rng   *rand.Rand
	goal  goal

	phase phase
	// own is the record of this ask's first attempt, with the nonce that all its
	// creates carry.
	own Record
	// seen is what the last read found, with its version.
	seen        Record
	seenVersion uint64
	everSeen    bool
	// pending is the update whose effect is not known; nil if none.
	pending *pendingWrite
	// reads and rounds count against the bounds of the rules.
	reads  int
	rounds int
	// wait is how long the present waiting phase lasts.
	wait    time.Duration
	verdict Verdict
}

// Open returns a machine that claims an attempt for ask. Randomness comes from
// rng: nonces must not be guessable from earlier runs, so production seeds it
// from the system's random source.
func Open(ask Ask, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(ask, rules, rng, goalRun)
	m.own = ask.record(m.nonce())
	m.phase = phaseCreating
	return m
}

// Reassign returns a machine that replaces the asker's own attempt by one at
// another target. The caller vouches that its present attempt has not run and
// never will: every message of it that was sent was answered by a refusal, or
// none was sent and none will be.
//
// The update is conditional on the version under which the asker owned the
// attempt. If another process has replaced it since, the update fails, and the
// machine goes on as one that met another request's claim.
func Reassign(owned Record, version uint64, target Target, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(askOf(owned, target), rules, rng, goalReassign)
	m.ask.Attempt = owned.Attempt + 1
	m.see(owned, version)
	m.startUpdate(m.nextAttempt())
	return m
}

// Release returns a machine that ends the asker's own attempt, under the same
// condition as Reassign. The next asker then need not ask the side, which may be
// gone by then.
func Release(owned Record, version uint64, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(askOf(owned, owned.Target), rules, rng, goalRelease)
	m.see(owned, version)
	m.startUpdate(m.abandoned())
	return m
}

// Look returns a machine that finds out what became of a claim, without a wish
// to run it. An attempt that turns out not to have run is abandoned, so that the
// verdict NotRun stays true: its owner's dispatch meets the side's tombstone, and
// its owner's Reassign meets a newer version.
func Look(id Identity, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(Ask{Identity: id}, rules, rng, goalLook)
	m.phase = phaseReading
	return m
}

// newMachine returns a machine without a phase.
func newMachine(ask Ask, rules Rules, rng *rand.Rand, g goal) *Machine {
	return &Machine{ask: ask, rules: rules, rng: rng, goal: g}
}

// askOf returns the ask that an owned record came from, for another target.
func askOf(owned Record, target Target) Ask {
	return Ask{
		Identity: owned.Identity,
		Request:  owned.Request,
		Attempt:  owned.Attempt,
		Target:   target,
		Minted:   owned.Minted,
		NowUnix:  owned.CreatedUnix,
	}
}

// Next returns the call to make.
func (m *Machine) Next() Step {
	name := m.ask.Identity.Name()
	switch m.phase {
	case phaseCreating:
		return Step{Call: CallCreate, Name: name, Record: m.own}
	case phaseReading:
		return Step{Call: CallRead, Name: name}
	case phaseWaiting:
		return Step{Call: CallWait, Name: name, Wait: m.wait}
	case phaseAsking:
		return Step{Call: CallResolve, Name: name, Record: m.seen}
	case phaseUpdating:
		return Step{Call: CallUpdate, Name: name, Record: m.pending.record, Version: m.pending.version}
	default:
		return Step{Call: CallNone, Name: name}
	}
}

// Verdict returns the verdict once Next returns CallNone.
func (m *Machine) Verdict() Verdict { return m.verdict }

// see remembers what the claim object holds.
func (m *Machine) see(record Record, version uint64) {
	m.seen = record
	m.seenVersion = version
	m.everSeen = true
}

// nonce returns a new nonce, never zero.
func (m *Machine) nonce() uint64 {
	for {
		if nonce := m.rng.Uint64(); nonce != 0 {
			return nonce
		}
	}
}

// nextAttempt returns the record that replaces the seen one by an attempt of
// this ask. Each replacement gets a new nonce: the nonce of an update that lost
// may have a tombstone already.
func (m *Machine) nextAttempt() Record {
	record := m.ask.record(m.nonce())
	record.CreatedUnix = m.seen.CreatedUnix
	return record
}

// abandoned returns the record that replaces the seen one and allows no attempt.
// The new nonce lets the writer know its own write by reading it back.
func (m *Machine) abandoned() Record {
	record := m.seen
	record.State = StateAbandoned
	record.Nonce = m.nonce()
	return record
}

// startUpdate makes the conditional update of the seen version the next call.
func (m *Machine) startUpdate(record Record) {
	m.pending = &pendingWrite{record: record, version: m.seenVersion}
	m.phase = phaseUpdating
}

// patience returns how long to wait before the side of the seen claim is asked.
// The random part keeps two askers that displace each other from doing so in
// step.
func (m *Machine) patience() time.Duration {
	wait := m.rules.Patience << min(m.rounds-1, maxDoublings)
	wait += time.Duration(m.rng.Int64N(int64(wait) + 1))
	wait = max(wait, m.seen.DispatchWithin())
	return min(wait, m.rules.MaxPatience)
}

// maxDoublings keeps the doubled patience far from overflow.
const maxDoublings = 10

// end reaches a verdict.
func (m *Machine) end(p phase, v Verdict) {
	m.phase = p
	if v.Version == 0 && m.everSeen {
		v.Record = m.seen
		v.Version = m.seenVersion
	}
	m.verdict = v
}

// misuse is the error of an answer that the present phase does not await.
func (m *Machine) misuse(input string) error {
	return fault.New(fault.Internal, "claim."+string(m.phase), "", "the answer %q is not awaited", input)
}
