package claim

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core/chart"
)

// goal is the purpose for which a machine was created.
type goal int

const (
	// goalRun: own an attempt.
	goalRun goal = iota
	// goalReassign: replace an owned attempt that was proved not to have run.
	goalReassign
	// goalRelease: abandon an owned attempt without replacing it.
	goalRelease
	// goalLookup: find out the outcome of a claim, without an attempt.
	goalLookup
)

// pendingWrite is a conditional update whose response may have been lost.
type pendingWrite struct {
	record  Record
	version uint64
}

// Machine is the state machine of one operation on a claim. The driver makes the
// call that Next returns and passes the response to the method named at the call's
// constant, until the call is CallNone. A Machine does no I/O and must not be used
// by several goroutines at once.
type Machine struct {
	spec  AttemptSpec
	name  string
	rules Rules
	rng   *rand.Rand
	goal  goal

	// chart holds the state in the claim chart, and trail the events fired so far.
	chart *chart.Machine
	trail []chart.Event
	// err is the first violation of the chart or of the claim's identity.
	err error

	// first is the record that this machine creates. Every transmission of the create
	// has the same nonce.
	first Record
	// seen is the last known content of the claim object, at seenVersion.
	seen        Record
	seenVersion uint64
	everSeen    bool
	// otherWrote is set once another request is known to have written the claim.
	otherWrote bool
	// pending is the update that may have taken effect or not; nil if none.
	pending *pendingWrite
	// responseLost is set once a response to the current write was lost.
	responseLost bool
	// maybeStored is set once a record of this machine may have been in the object,
	// and firstEpoch is the first epoch in which that was possible.
	maybeStored bool
	firstEpoch  uint64
	// reads and rounds count towards MaxReads and MaxRounds of the rules.
	reads  int
	rounds int
	// wait is the duration of the current wait.
	wait    time.Duration
	verdict Verdict
}

// Open returns a machine that claims the described attempt. Nonces come from rng:
// they must differ from those of all other processes, so production code seeds it
// from the system's random source.
func Open(spec AttemptSpec, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(spec, rules, rng, goalRun)
	m.first = spec.record(m.nonce())
	m.spec.Attempt++
	m.fire(eventOpen)
	return m
}

// Reassign returns a machine that replaces the caller's own attempt by one at
// another target. The caller must guarantee that its current attempt has not run
// and never will: every message that was sent for it was refused, or none was sent
// and none will be.
//
// The update is conditional on the version under which the caller owned the
// attempt. If another process has replaced the attempt since, the update fails,
// and the machine continues as after finding another request's claim.
func Reassign(owned Record, version uint64, target Target, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(specOf(owned, target), rules, rng, goalReassign)
	m.observe(owned, version)
	m.recordMaybeStored(owned.Epoch)
	m.startUpdate(eventReplace, m.nextAttempt())
	return m
}

// Release returns a machine that abandons the caller's own attempt, under the same
// condition as Reassign. The next caller then need not query the sidecar, which may
// have stopped in the meantime.
func Release(owned Record, version uint64, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(specOf(owned, owned.Target), rules, rng, goalRelease)
	m.observe(owned, version)
	m.startUpdate(eventReplace, m.abandonedRecord())
	return m
}

// Lookup returns a machine that looks up the outcome of a claim without running the
// stage. An attempt that has not run is abandoned, so that the verdict NotRun
// stays true of the request that had claimed it: the sidecar refuses its dispatch
// because of the tombstone, and its Reassign fails because the version is newer.
func Lookup(id Identity, rules Rules, rng *rand.Rand) *Machine {
	m := newMachine(AttemptSpec{Identity: id}, rules, rng, goalLookup)
	m.fire(eventLookup)
	return m
}

// newMachine returns a machine in the chart's initial state.
func newMachine(spec AttemptSpec, rules Rules, rng *rand.Rand, g goal) *Machine {
	name := spec.Name()
	return &Machine{spec: spec, name: name, rules: rules, rng: rng, goal: g, chart: claimChart.Start(name)}
}

// specOf returns the description of the attempt that replaces an owned one, at the given
// target.
func specOf(owned Record, target Target) AttemptSpec {
	return AttemptSpec{
		Identity:     owned.Identity,
		Request:      owned.Request,
		Attempt:      owned.Attempt + 1,
		Target:       target,
		KeyGenerated: owned.KeyGenerated,
		NowUnix:      owned.CreatedUnix,
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
	case stateResolving:
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

// Err returns why the machine failed, once Next returns CallNone. The code is
// Invalid if the key was used with another body, and Internal if the driver or the
// stored claim violated the protocol.
func (m *Machine) Err() error { return m.err }

// observe stores the content and version of the claim object.
func (m *Machine) observe(record Record, version uint64) {
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

// nextAttempt returns the record that replaces the seen one by an attempt of this
// machine. Each replacement gets a new nonce and attempt number: those of an update
// that conflicted may have a tombstone already.
func (m *Machine) nextAttempt() Record {
	record := m.spec.record(m.nonce())
	record.CreatedUnix = m.seen.CreatedUnix
	record.Epoch = m.seen.Epoch
	m.spec.Attempt++
	return record
}

// abandonedRecord returns the record that replaces the seen one and allows no
// attempt. The new nonce lets the writer recognize its own write when it reads the
// object back.
func (m *Machine) abandonedRecord() Record {
	record := m.seen
	record.State = StateAbandoned
	record.Nonce = m.nonce()
	if m.goal == goalLookup {
		record.Epoch++
	}
	return record
}

// recordMaybeStored records that a record of this machine may have been in the
// object since the given epoch.
func (m *Machine) recordMaybeStored(epoch uint64) {
	if !m.maybeStored {
		m.maybeStored = true
		m.firstEpoch = epoch
	}
}

// startUpdate fires an event that leads to an update, and makes the next call an update
// to record, on condition of the seen version.
func (m *Machine) startUpdate(event chart.Event, record Record) {
	m.pending = &pendingWrite{record: record, version: m.seenVersion}
	m.responseLost = false
	m.fire(event)
}

// maxDoublings keeps the doubled wait far from overflow.
const maxDoublings = 10

// waitTime returns how long to wait before the sidecar of the seen claim is
// queried. The random part keeps two callers that replace each other's attempts
// from doing so in lockstep.
func (m *Machine) waitTime() time.Duration {
	wait := m.rules.MinWait << min(m.rounds-1, maxDoublings)
	wait += time.Duration(m.rng.Int64N(int64(wait) + 1))
	wait = max(wait, m.seen.DispatchWithin())
	return min(wait, m.rules.MaxWait)
}
