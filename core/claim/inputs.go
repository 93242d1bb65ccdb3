package claim

import (
	"acaciawinch/core/chart"
	"acaciawinch/core/fault"
)

// Wrote processes the store's response to a create or an update. The argument
// version is the new version if the write took effect.
func (m *Machine) Wrote(response WriteResponse, version uint64) error {
	if err := m.expectState(stateCreating, stateUpdating); err != nil {
		return err
	}
	if m.chart.State() == stateCreating {
		m.handleCreate(response, version)
	} else {
		m.handleUpdate(response, version)
	}
	return m.err
}

// handleCreate processes the response to a create.
//
// Safe: the store creates a key once, so WriteOK makes this caller the only owner
// of the first nonce. Every other response leads to a read or ends without a
// dispatch. An ambiguous create that takes effect after the verdict leaves an
// open claim that nobody dispatches; the Resolve of the next caller proves that.
func (m *Machine) handleCreate(response WriteResponse, version uint64) {
	switch response {
	case WriteOK:
		m.observe(m.first, version)
		m.endOwned(eventWritten)
	case WriteConflict:
		m.handleConflict()
	case WriteUnavailable:
		m.endStoreUnavailable()
	default:
		m.responseLost = true
		m.recordMaybeStored(m.first.Epoch)
		m.fire(eventAmbiguous)
	}
}

// handleUpdate processes the response to an update.
//
// Safe: the update is conditional on the version for which it was proved that the
// attempt of the replaced nonce never runs, so WriteOK means that nobody replaced
// the nonce in between. After a conflict, pending is kept: the version may have
// been changed by an earlier transmission of the same update, whose response was
// lost.
func (m *Machine) handleUpdate(response WriteResponse, version uint64) {
	switch response {
	case WriteOK:
		m.endUpdated(version)
	case WriteConflict:
		m.handleConflict()
	case WriteUnavailable:
		m.endStoreUnavailable()
	default:
		m.responseLost = true
		m.recordMaybeStored(m.pending.record.Epoch)
		m.fire(eventAmbiguous)
	}
}

// handleConflict reads the claim after a write whose condition did not hold.
// Another request has written the claim, unless the response to an earlier
// transmission of the same write was lost: then that transmission may have caused
// the conflict.
func (m *Machine) handleConflict() {
	m.otherWrote = m.otherWrote || !m.responseLost
	m.fire(eventConflict)
}

// endUpdated ends the machine once the pending update is known to be in the
// object, from the response to the update or by reading back its nonce.
func (m *Machine) endUpdated(version uint64) {
	m.observe(m.pending.record, version)
	reading := m.chart.State() == stateReading
	abandoned := m.seen.State == StateAbandoned
	switch {
	case abandoned && reading:
		m.end(eventClosed, Verdict{KeyNotRun: true})
	case abandoned:
		m.end(eventAbandonWritten, Verdict{KeyNotRun: true})
	case reading:
		m.endOwned(eventOwnNonce)
	default:
		m.endOwned(eventWritten)
	}
}

// endOwned ends the machine with the attempt owned. The verdict does not say that
// the key has not run, unless the key is generated: while the response was in flight,
// another request may have had the attempt refused and have run its own. Release
// can prove that the key has not run.
func (m *Machine) endOwned(event chart.Event) {
	m.end(event, Verdict{KeyNotRun: m.spec.KeyGenerated})
}

// Missing processes a read that found no object.
func (m *Machine) Missing() error {
	if err := m.expectState(stateReading); err != nil {
		return err
	}
	switch {
	case m.goal == goalLookup && !m.everSeen:
		m.end(eventNoClaim, Verdict{})
	case m.everSeen:
		// The claim existed and expired: it is not known whether its attempt ran.
		m.end(eventExpired, Verdict{})
	case m.countRead():
		m.endStoreUnavailable()
	default:
		// The create whose response was lost has not taken effect yet. The same
		// record is sent a second time: whichever transmission arrives first, the
		// nonce is the same.
		m.fire(eventMissing)
	}
	return m.err
}

// Unreadable processes a read that failed.
func (m *Machine) Unreadable() error {
	if err := m.expectState(stateReading); err != nil {
		return err
	}
	m.endStoreUnavailable()
	return m.err
}

// Found processes the record and the version that a read returned.
func (m *Machine) Found(record Record, version uint64) error {
	if err := m.expectState(stateReading); err != nil {
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
	m.handleFound(record, version)
	return m.err
}

// handleFound processes a record whose version is not the one that a pending
// update replaces.
func (m *Machine) handleFound(record Record, version uint64) {
	if m.pending != nil && record.Nonce == m.pending.record.Nonce && record.State != StateDone {
		m.endUpdated(version)
		return
	}
	m.pending = nil
	m.observe(record, version)
	switch {
	case record.State == StateDone:
		m.handleFoundDone(record)
	case m.maybeStored && record.Epoch > m.firstEpoch:
		m.handleFoundLaterEpoch(record)
	case record.State == StateAbandoned:
		m.handleFoundAbandoned()
	case record.Nonce == m.first.Nonce:
		// Safe: nonces are random, so only this machine's create can have written
		// this nonce, and the read shows that it has not been replaced. If it is
		// replaced after the read, its sidecar has a tombstone for it by then and
		// refuses the dispatch.
		m.endOwned(eventOwnNonce)
	default:
		m.handleFoundOther()
	}
}

// mismatch returns an error for a record of another key or body, so that no request
// ever gets the result of another. The error has code Invalid if only the body
// differs, which is the client's mistake. It has code Internal if the key differs,
// because the keys have the same hash in the names of their objects.
func (m *Machine) mismatch(record Record) error {
	want := m.spec.Identity
	if m.goal == goalLookup && want.BodyDigest == "" {
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

// resend retries a pending update, because the object still has the version on
// which the update is conditional.
//
// Safe: the retry has the same record and the same condition, so both
// transmissions together take effect at most once.
func (m *Machine) resend() {
	if m.countRead() {
		m.endStoreUnavailable()
		return
	}
	m.fire(eventUnchanged)
}

// handleFoundDone ends the machine with the recorded result, or queries the sidecar for
// a result that was too large for the record.
func (m *Machine) handleFoundDone(record Record) {
	if record.Result == nil || record.Result.Omitted {
		m.fire(eventOmitted)
		return
	}
	m.end(eventRecorded, Verdict{Recorded: true, Chunks: record.Result.Chunks})
}

// handleFoundLaterEpoch ends a machine whose request may have had the claim when a
// lookup abandoned the claim. That lookup reported that the request will not run, so the
// request must not run, even if a later request with the key has claimed the stage again.
func (m *Machine) handleFoundLaterEpoch(record Record) {
	m.end(eventClosed, Verdict{KeyNotRun: m.spec.KeyGenerated || record.State == StateAbandoned})
}

// handleFoundAbandoned processes a claim whose last attempt was proved not to have run.
func (m *Machine) handleFoundAbandoned() {
	if m.goal != goalRun {
		m.end(eventClosed, Verdict{KeyNotRun: true})
		return
	}
	m.startUpdate(eventAbandoned, m.nextAttempt())
}

// handleFoundOther processes an open claim of another request. It starts the wait before
// that claim's sidecar is queried, unless the limits are reached.
func (m *Machine) handleFoundOther() {
	m.otherWrote = true
	m.rounds++
	exhausted := m.rounds > m.rules.MaxRounds || m.countRead()
	if exhausted || m.goal == goalRelease {
		m.end(eventContended, Verdict{RetryAfter: m.rules.RetryAfter})
		return
	}
	m.wait = m.waitTime()
	m.fire(eventOtherOpen)
}

// Waited processes the end of a wait.
func (m *Machine) Waited() error {
	if err := m.expectState(stateWaiting); err != nil {
		return err
	}
	m.fire(eventWaited)
	return m.err
}

// countRead counts a read and reports whether the count exceeds MaxReads.
func (m *Machine) countRead() bool {
	m.reads++
	return m.reads > m.rules.MaxReads
}
