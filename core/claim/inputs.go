package claim

import (
	"acaciawinch/core/chart"
	"acaciawinch/core/fault"
)

// Wrote hands in the answer to a create or an update; version is the new one if
// the write took effect.
func (m *Machine) Wrote(answer WriteAnswer, version uint64) error {
	if err := m.await(stateCreating, stateUpdating); err != nil {
		return err
	}
	if m.chart.State() == stateCreating {
		m.created(answer, version)
	} else {
		m.updated(answer, version)
	}
	return m.err
}

// created takes the answer to a create.
//
// Safe: the store creates a key once, so WriteOK makes this asker the only owner
// of the first nonce. Every other answer leads to a read or gives up without a
// dispatch. An ambiguous create that takes effect after the verdict leaves an
// open claim that nobody dispatches; the next asker's Resolve proves that.
func (m *Machine) created(answer WriteAnswer, version uint64) {
	switch answer {
	case WriteOK:
		m.see(m.first, version)
		m.own(eventWritten)
	case WriteConflict:
		m.conflicted()
	case WriteUnavailable:
		m.loseStore()
	default:
		m.lostAnswer = true
		m.expose(m.first.Epoch)
		m.fire(eventAmbiguous)
	}
}

// updated takes the answer to an update.
//
// Safe: the update is conditional on the version under which the replaced nonce
// was proved dead, so WriteOK means that nobody replaced it in between. After a
// conflict pending is kept: an earlier sending of the same update, whose answer
// was lost, may be what changed the version.
func (m *Machine) updated(answer WriteAnswer, version uint64) {
	switch answer {
	case WriteOK:
		m.tookEffect(version)
	case WriteConflict:
		m.conflicted()
	case WriteUnavailable:
		m.loseStore()
	default:
		m.lostAnswer = true
		m.expose(m.pending.record.Epoch)
		m.fire(eventAmbiguous)
	}
}

// conflicted reads what the condition of a write met. Unless an earlier sending
// of the write may have met itself, another request has the claim.
func (m *Machine) conflicted() {
	m.others = m.others || !m.lostAnswer
	m.fire(eventConflict)
}

// tookEffect ends with the pending update known to be in the object, by the
// answer to the update or by reading back its nonce.
func (m *Machine) tookEffect(version uint64) {
	m.see(m.pending.record, version)
	reading := m.chart.State() == stateReading
	retired := m.seen.State == StateAbandoned
	switch {
	case retired && reading:
		m.end(eventClosed, Verdict{KeyNotRun: true})
	case retired:
		m.end(eventRetired, Verdict{KeyNotRun: true})
	case reading:
		m.own(eventOwnNonce)
	default:
		m.own(eventWritten)
	}
}

// own ends with the attempt owned. The key is not told to be not run: while the
// answer was on its way, another request may have had the attempt refused and
// run its own. Release proves it.
func (m *Machine) own(event chart.Event) {
	m.end(event, Verdict{KeyNotRun: m.ask.Minted})
}

// Missing hands in that a read found no object.
func (m *Machine) Missing() error {
	if err := m.await(stateReading); err != nil {
		return err
	}
	switch {
	case m.goal == goalLook && !m.everSeen:
		m.end(eventNoClaim, Verdict{})
	case m.everSeen:
		// It was there and expired: nothing is known of what its attempt did.
		m.end(eventExpired, Verdict{})
	case m.tooManyReads():
		m.loseStore()
	default:
		// The lost create has not taken effect yet. The same record is sent again:
		// whichever of the two sendings arrives first, the nonce is the same.
		m.fire(eventMissing)
	}
	return m.err
}

// Unreadable hands in that a read had no answer.
func (m *Machine) Unreadable() error {
	if err := m.await(stateReading); err != nil {
		return err
	}
	m.loseStore()
	return m.err
}

// Found hands in what a read found.
func (m *Machine) Found(record Record, version uint64) error {
	if err := m.await(stateReading); err != nil {
		return err
	}
	if problem := m.mismatch(record); problem != nil {
		m.end(eventMismatch, Verdict{})
		m.err = problem
		return m.err
	}
	if m.pending != nil && m.pending.version == version {
		m.resend()
		return m.err
	}
	m.found(record, version)
	return m.err
}

// found decides on a record that is not the one that a pending update replaces.
func (m *Machine) found(record Record, version uint64) {
	if m.pending != nil && record.Nonce == m.pending.record.Nonce && record.State != StateDone {
		m.tookEffect(version)
		return
	}
	m.pending = nil
	m.see(record, version)
	switch {
	case record.State == StateDone:
		m.foundDone(record)
	case m.exposed && record.Epoch > m.epoch:
		m.foundLaterEpoch(record)
	case record.State == StateAbandoned:
		m.foundAbandoned()
	case record.Nonce == m.first.Nonce:
		// Safe: nonces are random, so only this machine's create can have written
		// it, and the read shows that it has not been replaced. If it is replaced
		// after the read, its tombstone stands already and refuses the dispatch.
		m.own(eventOwnNonce)
	default:
		m.foundOther()
	}
}

// mismatch refuses a record of another key or body, so that no request ever
// takes the result of another. The error has code Invalid if only the body
// differs, which is the caller's mistake, and Internal if the name's hash met
// two keys.
func (m *Machine) mismatch(record Record) error {
	want := m.ask.Identity
	if m.goal == goalLook && want.BodyDigest == "" {
		want.BodyDigest = record.BodyDigest
	}
	if record.Identity == want {
		return nil
	}
	want.BodyDigest = record.BodyDigest
	if record.Identity == want {
		return fault.New(fault.Invalid, "claim.reading", "", "the idempotency key was used with another body")
	}
	return fault.New(fault.Internal, "claim.reading", "", "the claim belongs to another key")
}

// resend sends a pending update again, because the object still has the version
// on which it is conditional.
//
// Safe: it is the same record under the same condition, so both sendings
// together take effect at most once.
func (m *Machine) resend() {
	if m.tooManyReads() {
		m.loseStore()
		return
	}
	m.fire(eventUnchanged)
}

// foundDone ends with a recorded result, or asks the side for one that was too
// large for the record.
func (m *Machine) foundDone(record Record) {
	if record.Result == nil || record.Result.Omitted {
		m.fire(eventOmitted)
		return
	}
	m.end(eventRecorded, Verdict{Recorded: true, Chunks: record.Result.Chunks})
}

// foundLaterEpoch ends an ask that may have had the claim when a look abandoned
// it. The look has told its asker that the request will not run, so it must not,
// even if a later request with the key has opened the claim again.
func (m *Machine) foundLaterEpoch(record Record) {
	m.end(eventClosed, Verdict{KeyNotRun: m.ask.Minted || record.State == StateAbandoned})
}

// foundAbandoned goes on from a claim whose last attempt was proved not run.
func (m *Machine) foundAbandoned() {
	if m.goal != goalRun {
		m.end(eventClosed, Verdict{KeyNotRun: true})
		return
	}
	m.startUpdate(eventAbandoned, m.nextAttempt())
}

// foundOther waits before it asks the side of another request's open claim.
func (m *Machine) foundOther() {
	m.others = true
	m.rounds++
	spent := m.rounds > m.rules.MaxRounds || m.tooManyReads()
	if spent || m.goal == goalRelease {
		m.end(eventContended, Verdict{RetryAfter: m.rules.RetryAfter})
		return
	}
	m.wait = m.patience()
	m.fire(eventOtherOpen)
}

// Waited hands in that the wait is over.
func (m *Machine) Waited() error {
	if err := m.await(stateWaiting); err != nil {
		return err
	}
	m.fire(eventWaited)
	return m.err
}

// tooManyReads counts a read against the bound.
func (m *Machine) tooManyReads() bool {
	m.reads++
	return m.reads > m.rules.MaxReads
}
