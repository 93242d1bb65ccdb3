package claim

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core/chart"
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

// Machine carries one ask through the claim chart. The driver makes the call that
// Next returns and hands in the answer, until the call is CallNone. It does no
// I/O and is for one goroutine.
type Machine struct {
	ask   Ask
	name  string
	rules Rules
	rng   *rand.Rand
	goal  goal

	chart *chart.Machine
	trail []chart.Event
	// err is the first breach of the chart or of the claim's identity.
	err error

	// first is the record of this ask's first attempt, with the nonce that all
	// its creates carry.
	first Record
	// seen is what the claim object is known to have held, with its version.
	seen        Record
	seenVersion uint64
	everSeen    bool
	// others is set once another request is known to have written the claim.
	others bool
	// pending is the update whose effect is not known; nil if none.
	pending *pendingWrite
	// lostAnswer is set once an answer to the present write was lost.
	lostAnswer bool
	// exposed is set once a record of this ask may have been in the object, and
	// epoch is the first in which that may have been.
	exposed bool
	epoch   uint64
	// reads and rounds count against the bounds of the rules.
	reads  int
	rounds int
	// wait is how long the present waiting lasts.
	wait    time.Duration
	verdict Verdict
}

// Open returns a machine that claims an attempt for ask. Randomness comes from
// rng: nonces must differ from those of all other processes, so production seeds
// it from the system's random source.
func Open(ask Ask, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(ask, rules, rng, goalRun)
	m.first = ask.record(m.nonce())
	m.ask.Attempt++
	m.fire(eventOpen)
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
	m.see(owned, version)
	m.expose(owned.Epoch)
	m.startUpdate(eventReplace, m.nextAttempt())
	return m
}

// Release returns a machine that ends the asker's own attempt, under the same
// condition as Reassign. The next asker then need not ask the side, which may be
// gone by then.
func Release(owned Record, version uint64, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(askOf(owned, owned.Target), rules, rng, goalRelease)
	m.see(owned, version)
	m.startUpdate(eventReplace, m.abandoned())
	return m
}

// Look returns a machine that finds out what became of a claim, without a wish
// to run it. An attempt that turns out not to have run is abandoned, so that the
// verdict NotRun stays true of the request that had claimed it: its dispatch
// meets the side's tombstone, and its Reassign meets a newer version.
func Look(id Identity, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(Ask{Identity: id}, rules, rng, goalLook)
	m.fire(eventLook)
	return m
}

// newMachine returns a machine at the chart's start.
func newMachine(ask Ask, rules Rules, rng *rand.Rand, g goal) *Machine {
	name := ask.Name()
	return &Machine{ask: ask, name: name, rules: rules, rng: rng, goal: g, chart: claimChart.Start(name)}
}

// askOf returns the ask that an owned record came from, for another target.
func askOf(owned Record, target Target) Ask {
	return Ask{
		Identity: owned.Identity,
		Request:  owned.Request,
		Attempt:  owned.Attempt + 1,
		Target:   target,
		Minted:   owned.Minted,
		NowUnix:  owned.CreatedUnix,
	}
}

// Next returns the call to make.
func (m *Machine) Next() Step {
	step := Step{Name: m.name}
	if m.err != nil {
		return step
	}
	switch m.chart.State() {
	case stateCreating:
		step.Call = CallCreate
		step.Record = m.first
	case stateReading:
		step.Call = CallRead
	case stateWaiting:
		step.Call = CallWait
		step.Wait = m.wait
	case stateAsking:
		step.Call = CallResolve
		step.Record = m.seen
	case stateUpdating:
		step.Call = CallUpdate
		step.Record = m.pending.record
		step.Version = m.pending.version
	}
	return step
}

// Verdict returns the verdict once Next returns CallNone.
func (m *Machine) Verdict() Verdict { return m.verdict }

// Err returns why there is no verdict once Next returns CallNone: Invalid if the
// key was used with another body, Internal if a rule of the code was broken.
func (m *Machine) Err() error { return m.err }

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
// this ask. Each replacement gets a new nonce and attempt number: those of an
// update that lost may have a tombstone already.
func (m *Machine) nextAttempt() Record {
	record := m.ask.record(m.nonce())
	record.CreatedUnix = m.seen.CreatedUnix
	record.Epoch = m.seen.Epoch
	m.ask.Attempt++
	return record
}

// abandoned returns the record that replaces the seen one and allows no attempt.
// The new nonce lets the writer know its own write by reading it back.
func (m *Machine) abandoned() Record {
	record := m.seen
	record.State = StateAbandoned
	record.Nonce = m.nonce()
	if m.goal == goalLook {
		record.Epoch++
	}
	return record
}

// expose notes that a record of this ask may have been in the object.
func (m *Machine) expose(epoch uint64) {
	if !m.exposed {
		m.exposed = true
		m.epoch = epoch
	}
}

// startUpdate makes the conditional update of the seen version the next call.
func (m *Machine) startUpdate(event chart.Event, record Record) {
	m.pending = &pendingWrite{record: record, version: m.seenVersion}
	m.lostAnswer = false
	m.fire(event)
}

// maxDoublings keeps the doubled patience far from overflow.
const maxDoublings = 10

// patience returns how long to wait before the side of the seen claim is asked.
// The random part keeps two askers that displace each other from doing so in
// step.
func (m *Machine) patience() time.Duration {
	wait := m.rules.Patience << min(m.rounds-1, maxDoublings)
	wait += time.Duration(m.rng.Int64N(int64(wait) + 1))
	wait = max(wait, m.seen.DispatchWithin())
	return min(wait, m.rules.MaxPatience)
}
