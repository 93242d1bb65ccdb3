package claim

// Resolved hands in the side's answer about the seen attempt.
func (m *Machine) Resolved(answer SideAnswer) error {
	if m.phase != phaseAsking {
		return m.misuse("resolved")
	}
	if m.seen.State == StateDone {
		m.resolvedKept(answer)
		return nil
	}
	switch m.believed(answer) {
	case SideDone:
		m.end(phaseEnded, Verdict{Status: Done, Chunks: answer.Chunks, Reason: "the side has the result"})
	case SideRunning:
		m.end(phaseEnded, Verdict{Status: Running, Reason: "the side runs it"})
	case SideNotRun:
		m.resolvedNotRun()
	case SideUnreachable:
		m.end(phaseEnded, Verdict{Status: Unknown, RetryAfter: m.rules.RetryAfter, Reason: "the side can't be reached"})
	case SideFailed:
		m.end(phaseEnded, Verdict{Status: Unknown, Reason: "the upstream had it and gave no result"})
	default:
		m.end(phaseEnded, Verdict{Status: Unknown, Reason: "the side that had it is gone"})
	}
	return nil
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
		m.startUpdate(m.abandoned())
		return
	}
	m.startUpdate(m.nextAttempt())
}

// resolvedKept ends with a result that the record only has the digest of.
func (m *Machine) resolvedKept(answer SideAnswer) {
	intact := m.believed(answer) == SideDone && DigestChunks(answer.Chunks) == m.seen.Result.Digest
	if intact {
		m.end(phaseEnded, Verdict{Status: Done, Chunks: answer.Chunks, Recorded: true, Reason: "the side kept the result"})
		return
	}
	verdict := Verdict{Status: Unknown, Reason: "it ran, and its result is no longer kept"}
	if answer.State == SideUnreachable {
		verdict.RetryAfter = m.rules.RetryAfter
		verdict.Reason = "it ran, and the side with the result can't be reached"
	}
	m.end(phaseEnded, verdict)
}

// GiveUp ends the machine early, as when the request's deadline has passed. The
// verdict is truthful at any phase, because the asker owns nothing yet.
func (m *Machine) GiveUp(reason string) {
	if m.phase == phaseEnded {
		return
	}
	m.storeDown(reason)
}

// storeDown ends without an attempt of this ask.
//
// This ask has started nothing and will start nothing: an update or create of
// it that takes effect later leaves an open claim that nobody dispatches. What
// another request with the same key did is a different question. It can be ruled
// out only if no other request can have the key, or if the claim's attempt was
// proved dead under a version that only this machine's write replaces.
func (m *Machine) storeDown(reason string) {
	verdict := Verdict{Status: Unavailable, RetryAfter: m.rules.RetryAfter, Reason: reason}
	verdict.KeyNotRun = m.ask.Minted && !m.everSeen
	if m.everSeen && m.goal == goalRun {
		// Another request's claim exists, so its attempt may run.
		verdict.Status = Unknown
	}
	m.end(phaseEnded, verdict)
}
