package claim

import "acaciawinch/core/fault"

// phase is the machine's state; the names are those of the claim chart.
type phase string

const (
	phaseCreating phase = "creating"
	phaseReading  phase = "reading"
	phaseWaiting  phase = "waiting"
	phaseAsking   phase = "asking"
	phaseUpdating phase = "updating"
	phaseEnded    phase = "ended"
)

// Wrote hands in the answer to a create or an update; version is the new one if
// the write took effect.
func (m *Machine) Wrote(answer WriteAnswer, version uint64) error {
	switch m.phase {
	case phaseCreating:
		m.created(answer, version)
	case phaseUpdating:
		m.updated(answer, version)
	default:
		return m.misuse("wrote")
	}
	return nil
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
		m.claimed(m.own, version)
	case WriteUnavailable:
		m.storeDown("the store is unavailable")
	default:
		m.phase = phaseReading
	}
}

// updated takes the answer to an update.
//
// Safe: the update is conditional on the version under which the replaced nonce
// was proved dead, so WriteOK means that nobody replaced it in between.
func (m *Machine) updated(answer WriteAnswer, version uint64) {
	switch answer {
	case WriteOK:
		m.tookEffect(version)
	case WriteUnavailable:
		m.pending = nil
		m.storeDown("the store is unavailable")
	case WriteConflict:
		// The condition failed. The write can still have taken effect if an earlier
		// sending of it did, so pending is kept for the comparison of nonces.
		m.phase = phaseReading
	default:
		m.phase = phaseReading
	}
}

// tookEffect ends with the pending update known to be in the object.
func (m *Machine) tookEffect(version uint64) {
	record := m.pending.record
	m.pending = nil
	m.see(record, version)
	if record.State == StateAbandoned {
		m.end(phaseEnded, Verdict{Status: NotRun, KeyNotRun: true, Reason: "abandoned"})
		return
	}
	m.claimed(record, version)
}

// claimed ends with the attempt owned.
func (m *Machine) claimed(record Record, version uint64) {
	m.see(record, version)
	m.end(phaseEnded, Verdict{Status: Mine, KeyNotRun: true, Reason: "claimed"})
}

// Missing hands in that a read found no object.
func (m *Machine) Missing() error {
	if m.phase != phaseReading {
		return m.misuse("missing")
	}
	switch {
	case m.goal == goalLook:
		m.end(phaseEnded, Verdict{Status: Absent, Reason: "no claim"})
	case m.everSeen:
		// It was there and expired: nothing is known of what its attempt did.
		m.end(phaseEnded, Verdict{Status: Unknown, Reason: "the claim was deleted"})
	case m.tooManyReads():
		m.storeDown("the claim could not be written")
	default:
		// The lost create has not taken effect yet. The same record is sent again:
		// whichever of the two sendings arrives first, the nonce is the same.
		m.phase = phaseCreating
	}
	return nil
}

// Unreadable hands in that a read had no answer.
func (m *Machine) Unreadable() error {
	if m.phase != phaseReading {
		return m.misuse("unreadable")
	}
	m.storeDown("the claim could not be read")
	return nil
}

// Found hands in what a read found.
func (m *Machine) Found(record Record, version uint64) error {
	if m.phase != phaseReading {
		return m.misuse("found")
	}
	if err := m.checkIdentity(record); err != nil {
		return err
	}
	if m.stillPending(version) {
		m.resend()
		return nil
	}
	m.see(record, version)
	switch {
	case record.State == StateDone:
		m.foundDone(record)
	case m.ownNonce(record):
		m.foundOwn(record, version)
	case record.State == StateAbandoned:
		m.foundAbandoned(record)
	default:
		m.foundOther()
	}
	return nil
}

// checkIdentity refuses a record of another key or body, so that no request ever
// takes the result of another. The error has code Invalid if only the body
// differs, which is the caller's mistake, and Internal if the name's hash met
// two keys.
func (m *Machine) checkIdentity(record Record) error {
	want := m.ask.Identity
	have := record.Identity
	if m.goal == goalLook && want.BodyDigest == "" {
		want.BodyDigest = have.BodyDigest
	}
	if have == want {
		return nil
	}
	m.end(phaseEnded, Verdict{Status: Unknown, Reason: "another request's claim"})
	bodyOnly := have
	bodyOnly.BodyDigest = want.BodyDigest
	if bodyOnly == want {
		return fault.New(fault.Invalid, "claim.reading", "", "the idempotency key was used with another body")
	}
	return fault.New(fault.Internal, "claim.reading", "", "the claim belongs to another key")
}

// stillPending tells whether the object still has the version on which an update
// was conditional, so that the update has not taken effect yet.
func (m *Machine) stillPending(version uint64) bool {
	return m.pending != nil && m.pending.version == version
}

// resend sends a pending update again. Safe: it is the same record under the
// same condition, so both sendings together take effect at most once.
func (m *Machine) resend() {
	if m.tooManyReads() {
		m.pending = nil
		m.storeDown("the claim could not be updated")
		return
	}
	m.phase = phaseUpdating
}

// ownNonce tells whether the record carries a nonce that this machine wrote and
// has not seen replaced.
func (m *Machine) ownNonce(record Record) bool {
	if m.pending != nil {
		return record.Nonce == m.pending.record.Nonce
	}
	return m.rounds == 0 && m.own.Nonce != 0 && record.Nonce == m.own.Nonce
}

// foundOwn ends with a write whose answer was lost and which took effect.
func (m *Machine) foundOwn(record Record, version uint64) {
	if m.pending != nil {
		m.tookEffect(version)
		return
	}
	m.claimed(record, version)
}

// foundDone ends with a recorded result, or asks the side for one that was too
// large for the record.
func (m *Machine) foundDone(record Record) {
	m.pending = nil
	if record.Result != nil && record.Result.Omitted {
		m.phase = phaseAsking
		return
	}
	verdict := Verdict{Status: Done, Recorded: true, Reason: "the result is recorded"}
	if record.Result != nil {
		verdict.Chunks = record.Result.Chunks
	}
	m.end(phaseEnded, verdict)
}

// foundAbandoned goes on from a claim whose last attempt was proved not run.
//
// Who doesn't want to run it has the verdict. Neither may an ask whose own
// attempt was abandoned start another: it was abandoned by a look, which has told
// its asker that this request will not run. A later ask with the key may.
func (m *Machine) foundAbandoned(record Record) {
	m.pending = nil
	if m.goal != goalRun || record.Request == m.ask.Request {
		m.end(phaseEnded, Verdict{Status: NotRun, KeyNotRun: true, Reason: "abandoned"})
		return
	}
	m.startUpdate(m.nextAttempt())
}

// foundOther waits before it asks the side of another request's open claim.
func (m *Machine) foundOther() {
	m.pending = nil
	if m.goal == goalRelease {
		m.end(phaseEnded, Verdict{Status: Unknown, Reason: "another request has replaced it"})
		return
	}
	m.rounds++
	if m.rounds > m.rules.MaxRounds || m.tooManyReads() {
		m.end(phaseEnded, Verdict{Status: Unknown, RetryAfter: m.rules.RetryAfter, Reason: "other requests keep claiming it"})
		return
	}
	m.wait = m.patience()
	m.phase = phaseWaiting
}

// Waited hands in that the wait is over.
func (m *Machine) Waited() error {
	if m.phase != phaseWaiting {
		return m.misuse("waited")
	}
	m.phase = phaseAsking
	return nil
}

// tooManyReads counts a read against the bound.
func (m *Machine) tooManyReads() bool {
	m.reads++
	return m.reads > m.rules.MaxReads
}
