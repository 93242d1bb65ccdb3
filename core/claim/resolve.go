package claim

// Resolved hands in the side's answer about the seen attempt.
func (m *Machine) Resolved(answer SideAnswer) error {
	if err := m.await(stateAsking); err != nil {
		return err
	}
	state := m.believed(answer)
	switch {
	case state == SideUnreachable:
		m.end(eventSideUnreachable, Verdict{RetryAfter: m.rules.RetryAfter})
	case m.seen.State == StateDone:
		m.resolvedOmitted(state, answer.Chunks)
	case state == SideDone:
		m.end(eventSideDone, Verdict{Chunks: answer.Chunks})
	case state == SideRunning:
		m.end(eventSideRunning, Verdict{})
	case state == SideNotRun:
		m.resolvedNotRun()
	case state == SideFailed:
		m.end(eventSideFailed, Verdict{})
	default:
		m.end(eventSideGone, Verdict{})
	}
	return m.err
}

// believed returns the answer's state, or SideGone if another incarnation than
// the claim's answered. A side that was restarted, or another host that got the
// address, has an empty table: its "never seen" proves nothing about what the
// earlier process handed to the upstream.
func (m *Machine) believed(answer SideAnswer) SideState {
	if answer.State == SideUnreachable {
		return SideUnreachable
	}
	if answer.Incarnation != m.seen.Target.Incarnation {
		return SideGone
	}
	return answer.State
}

// resolvedNotRun replaces the seen attempt, which has a tombstone now.
//
// Safe: the tombstone stands before the update is sent, so whatever becomes of
// the update, the old nonce is dead. The update is conditional on the version
// that carried the old nonce: of all askers that got the same answer one wins.
func (m *Machine) resolvedNotRun() {
	if m.goal == goalLook {
		m.startUpdate(eventSideNotRun, m.abandoned())
		return
	}
	m.startUpdate(eventSideNotRun, m.nextAttempt())
}

// resolvedOmitted ends with a result of which the record has only the digest.
// Other chunks than those that were recorded are no result.
func (m *Machine) resolvedOmitted(state SideState, chunks [][]byte) {
	recorded := m.seen.Result
	if state == SideDone && recorded != nil && DigestChunks(chunks) == recorded.Digest {
		m.end(eventSideDone, Verdict{Chunks: chunks, Recorded: true})
		return
	}
	m.end(eventResultLost, Verdict{})
}

// GiveUp ends the machine early, as when the request's deadline has passed. The
// verdict is truthful in any state, because the asker owns nothing yet.
func (m *Machine) GiveUp() {
	state := m.chart.State()
	switch {
	case m.err != nil || m.chart.Final():
	case state == stateWaiting || state == stateAsking || m.otherMayRun():
		m.end(eventGaveUp, Verdict{RetryAfter: m.rules.RetryAfter})
	default:
		m.end(eventOutOfTime, Verdict{RetryAfter: m.rules.RetryAfter, KeyNotRun: m.ask.Minted})
	}
}

// loseStore ends without an attempt of this ask because the store does not answer.
//
// This ask has started nothing and will start nothing: an update or create of
// it that takes effect later leaves an open claim that nobody dispatches. What
// another request with the same key did is a different question. It is ruled out
// only if no other request can have the key.
func (m *Machine) loseStore() {
	if m.otherMayRun() {
		m.end(eventLostSight, Verdict{RetryAfter: m.rules.RetryAfter})
		return
	}
	m.end(eventStoreDown, Verdict{RetryAfter: m.rules.RetryAfter, KeyNotRun: m.ask.Minted})
}

// otherMayRun tells whether another request is known to have claimed the stage.
// Only lookers write a minted key's claim besides its owner, and they run nothing.
func (m *Machine) otherMayRun() bool { return m.others && !m.ask.Minted }
