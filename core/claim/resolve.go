package claim

// Resolved processes the sidecar's response about the attempt in the seen record.
func (m *Machine) Resolved(response SidecarResponse) error {
	if err := m.expectState(stateResolving); err != nil {
		return err
	}
	state := m.verifiedState(response)
	switch {
	case state == SidecarUnreachable:
		m.end(eventSideUnreachable, Verdict{RetryAfter: m.rules.RetryAfter})
	case m.seen.State == StateDone:
		m.handleResolvedOmitted(state, response.Chunks)
	case state == SidecarDone:
		m.end(eventSideDone, Verdict{Chunks: response.Chunks})
	case state == SidecarRunning:
		m.end(eventSideRunning, Verdict{})
	case state == SidecarNotRun:
		m.handleResolvedNotRun()
	case state == SidecarFailed:
		m.end(eventSideFailed, Verdict{})
	default:
		m.end(eventSideGone, Verdict{})
	}
	return m.err
}

// verifiedState returns the state in the response, or SidecarGone if the responding
// incarnation is not the one in the claim. A sidecar that was restarted, or another
// host that got the address, has an empty table: that it has never seen the attempt
// proves nothing about what the earlier process handed to the upstream.
func (m *Machine) verifiedState(response SidecarResponse) SidecarState {
	if response.State == SidecarUnreachable {
		return SidecarUnreachable
	}
	if response.Incarnation != m.seen.Target.Incarnation {
		return SidecarGone
	}
	return response.State
}

// handleResolvedNotRun replaces the seen attempt, for which the sidecar now has a
// tombstone, or abandons the claim if the machine is a lookup.
//
// Safe: the tombstone exists before the update is sent, so the attempt of the old
// nonce never runs, whether or not the update succeeds. The update is conditional
// on the version that has the old nonce: of all callers that got the same response
// one succeeds.
func (m *Machine) handleResolvedNotRun() {
	if m.goal == goalLookup {
		m.startUpdate(eventSideNotRun, m.abandonedRecord())
		return
	}
	m.startUpdate(eventSideNotRun, m.nextAttempt())
}

// handleResolvedOmitted ends the machine for a claim whose record has only the digest of
// the result. Chunks with another digest are not accepted as the result.
func (m *Machine) handleResolvedOmitted(state SidecarState, chunks [][]byte) {
	recorded := m.seen.Result
	if state == SidecarDone && recorded != nil && DigestChunks(chunks) == recorded.Digest {
		m.end(eventSideDone, Verdict{Chunks: chunks, Recorded: true})
		return
	}
	m.end(eventResultLost, Verdict{})
}

// GiveUp ends the machine early, for example when the request's deadline has
// passed. The verdict is correct in any state, because the caller does not own an
// attempt of this machine yet.
func (m *Machine) GiveUp() {
	state := m.chart.State()
	switch {
	case m.err != nil || m.chart.Final():
	case state == stateWaiting || state == stateResolving || m.otherMayRun():
		m.end(eventGaveUp, Verdict{RetryAfter: m.rules.RetryAfter})
	default:
		m.end(eventOutOfTime, Verdict{RetryAfter: m.rules.RetryAfter, KeyNotRun: m.spec.KeyGenerated})
	}
}

// endStoreUnavailable ends the machine without an attempt because the store does
// not respond.
//
// This machine's caller has started nothing and will start nothing: an update or
// create that takes effect later leaves an open claim that nobody dispatches.
// Another request with the same key may have run the stage nevertheless. That is
// ruled out only if no other request can have the key.
func (m *Machine) endStoreUnavailable() {
	if m.otherMayRun() {
		m.end(eventStoreDownUnknown, Verdict{RetryAfter: m.rules.RetryAfter})
		return
	}
	m.end(eventStoreDown, Verdict{RetryAfter: m.rules.RetryAfter, KeyNotRun: m.spec.KeyGenerated})
}

// otherMayRun reports whether another request is known to have claimed the stage.
// Besides its owner, only lookups write the claim of a generated key, and they run
// nothing.
func (m *Machine) otherMayRun() bool { return m.otherWrote && !m.spec.KeyGenerated }
