package request

// onStarted handles the report that the upstream has the attempt.
func (m *Machine) onStarted(e Started) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	m.markStarted(a)
}

// markStarted records that the upstream has the attempt.
func (m *Machine) markStarted(a *attempt) {
	if !a.started {
		a.started = true
		a.startedAt = m.now
	}
	m.markSeen(a)
	if a.state != sent {
		return
	}
	switch a.stage.callChart.State() {
	case "dispatched":
		m.fire(a.stage, "started")
	case "reattaching":
		m.fire(a.stage, "attached")
	}
}

// onChunk accepts the attempt's next chunk. Chunks that arrive early are buffered,
// duplicates are dropped.
func (m *Machine) onChunk(e Chunk) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != sent {
		m.noteDropped(a, "chunk of an attempt that has ended")
		return
	}
	m.markStarted(a)
	output := &a.output
	switch {
	case e.Index < output.next:
		m.note(a, NoteDropped, "duplicate chunk")
		return
	case e.Index > output.next:
		m.bufferEarly(a, e)
		return
	}
	m.acceptChunk(a, e.Data)
	for a.state == sent {
		data, ok := output.pending[output.next]
		if !ok {
			break
		}
		delete(output.pending, output.next)
		m.acceptChunk(a, data)
	}
	m.tryClose(a)
}

// noteDropped records an event that changed nothing.
func (m *Machine) noteDropped(a *attempt, reason string) {
	if a != nil && a.state != cancelling {
		m.note(a, NoteDropped, reason)
	}
}

// bufferEarly buffers a chunk that arrived before an earlier one. More than
// MaxPending of them mean that a chunk was lost: the stream then counts as broken.
func (m *Machine) bufferEarly(a *attempt, e Chunk) {
	output := &a.output
	if len(output.pending) >= m.rules.MaxPending {
		clear(output.pending)
		m.onBroken(Broken{Attempt: a.id, Detail: "chunks are missing"})
		return
	}
	if output.pending == nil {
		output.pending = make(map[uint64][]byte)
	}
	output.pending[e.Index] = e.Data
}

// acceptChunk adds the attempt's next chunk to its digest and, if the attempt leads,
// to the stage's output.
func (m *Machine) acceptChunk(a *attempt, data []byte) {
	s := a.stage
	a.output.next++
	a.chunkAt = m.now
	_, _ = a.output.digest.Write(data) // never fails
	if s.leader == nil {
		m.setLeader(a)
	}
	if s.leader != a {
		return
	}
	s.output = append(s.output, data)
	m.emit(s)
}

// setLeader makes the attempt the one whose chunks become the output, and cancels
// the others.
func (m *Machine) setLeader(a *attempt) {
	s := a.stage
	s.leader = a
	if s.callChart.State() == "hedged" {
		m.fire(s, "winner")
	}
	m.cancelOthers(a, CancelHedgeLost)
}

// cancelOthers cancels all other attempts of the stage.
func (m *Machine) cancelOthers(a *attempt, reason CancelReason) {
	for _, other := range m.attempts {
		if other == a || other.stage != a.stage {
			continue
		}
		switch {
		case other.live():
			m.cancel(other, reason, EndCancelled, "another attempt was faster")
		case other.state == choosing:
			m.end(other, EndCancelled, "")
		}
	}
}

// emit delivers the chunks that the caller does not have yet, if s is the last
// stage.
func (m *Machine) emit(s *stage) {
	if s.index != len(m.stages)-1 || m.ending != nil {
		return
	}
	for ; m.emitted < uint64(len(s.output)); m.emitted++ {
		if m.emitted == 0 {
			m.fireLifecycle("first_chunk")
		}
		m.addAction(Emit{Index: m.emitted, Data: s.output[m.emitted]})
	}
}

// onDone stores the closing event and closes the output if all chunks were received.
func (m *Machine) onDone(e Done) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != sent {
		m.handleLateDone(a)
		return
	}
	m.markStarted(a)
	a.outstanding = false
	if a.output.closing == nil {
		a.output.closing = &e
	}
	m.tryClose(a)
}

// handleLateDone handles the closing event of an attempt that accepts no output any
// more. It shows that a cancelled claimed attempt has run nevertheless.
func (m *Machine) handleLateDone(a *attempt) {
	m.noteDropped(a, "closing event of an attempt that has ended")
	if a != nil && a.state == cancelling && a.stage.spec.NonIdempotent {
		a.stage.claim.mayHaveRun = true
		a.state = ended
		m.trySettle()
	}
}

// tryClose ends the stage if the attempt's output is complete, or rejects the
// output if its count or digest is wrong.
func (m *Machine) tryClose(a *attempt) {
	closing := a.output.closing
	if closing == nil || a.state != sent || a.output.next < closing.Chunks {
		return
	}
	if a.output.next > closing.Chunks || a.output.digest.Sum64() != closing.Digest {
		m.handleCorruptOutput(a)
		return
	}
	if a.stage.leader != nil && a.stage.leader != a {
		return
	}
	m.cancelOthers(a, CancelHedgeLost)
	m.complete(a)
}

// complete ends the stage with the attempt's complete output.
func (m *Machine) complete(a *attempt) {
	s := a.stage
	m.end(a, EndOK, "")
	if s.spec.NonIdempotent {
		// The result is acknowledged only once the claim holds it: until then the
		// sidecar's copy is the only one that survives a crash of this process.
		s.claim.mayHaveRun = true
		m.recordResult(a)
	} else {
		m.addAction(Acknowledge{Attempt: a.id})
	}
	m.fire(s, "done")
	m.stageDone(s)
}

// stageDone continues after a stage whose output is complete.
func (m *Machine) stageDone(s *stage) {
	s.done = true
	if m.ending != nil {
		m.trySettle()
		return
	}
	if s.index < len(m.stages)-1 {
		m.fireLifecycle("stage_done")
	}
	if s.spec.NonIdempotent {
		m.prepareClaim()
	}
	m.emit(s)
	m.enterStage(s.index + 1)
}

// handleCorruptOutput handles an output that does not match its closing event. None of its
// chunks may be used; if the caller already has some, the request fails.
func (m *Machine) handleCorruptOutput(a *attempt) {
	const detail = "the output does not match the chunk count and digest of its closing event"
	s := a.stage
	if s.spec.NonIdempotent {
		s.output = nil
		s.leader = nil
		m.resolve(a, detail)
		return
	}
	if s.leader == a && m.emitted > 0 && s.index == len(m.stages)-1 {
		m.end(a, EndFailed, "failed")
		m.giveUp(ending{cause: GiveUpFailed, step: "stage." + s.spec.Name, detail: detail, retryAfter: m.rules.RetryAfterFailure})
		return
	}
	if s.leader == a {
		s.output = nil
	}
	m.handleAttemptFailed(a, EndFailed, detail)
}

// answerComplete ends the request, whose output the caller has completely.
func (m *Machine) answerComplete() {
	m.fireLifecycle("delivered")
	m.answered = true
	m.addAction(Answer{Outcome: "answered"})
}
