package request

// onStarted notes that the upstream has the attempt.
func (m *Machine) onStarted(e Started) {
	a := m.find(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	m.showStarted(a)
}

// showStarted notes a sign that the upstream has the attempt.
func (m *Machine) showStarted(a *attempt) {
	if !a.started {
		a.started = true
		a.startedAt = m.now
	}
	m.heard(a)
	if a.state != sent {
		return
	}
	switch a.stage.call.State() {
	case "dispatched":
		m.fire(a.stage, "started")
	case "reattaching":
		m.fire(a.stage, "attached")
	}
}

// onChunk takes a chunk if it is the attempt's next one and the attempt leads.
// Chunks that come early wait for their turn; those that come twice are dropped.
func (m *Machine) onChunk(e Chunk) {
	a := m.find(e.Attempt)
	if a == nil || a.state != sent {
		m.dropped(a, "a chunk of an attempt that has ended")
		return
	}
	m.showStarted(a)
	out := &a.output
	switch {
	case e.Index < out.next:
		m.note(a, NoteDropped, "a chunk that came before")
		return
	case e.Index > out.next:
		m.keepEarly(a, e)
		return
	}
	m.takeChunk(a, e.Data)
	for a.state == sent {
		data, ok := out.pending[out.next]
		if !ok {
			break
		}
		delete(out.pending, out.next)
		m.takeChunk(a, data)
	}
	m.tryClose(a)
}

// dropped notes an event that changed nothing.
func (m *Machine) dropped(a *attempt, reason string) {
	if a != nil && a.state != cancelling {
		m.note(a, NoteDropped, reason)
	}
}

// keepEarly holds a chunk that came before its turn. Too many of them mean that
// one was lost: the attempt is followed on a new stream.
func (m *Machine) keepEarly(a *attempt, e Chunk) {
	out := &a.output
	if len(out.pending) >= m.rules.MaxPending {
		clear(out.pending)
		m.onBroken(Broken{Attempt: a.id, Detail: "chunks are missing"})
		return
	}
	if out.pending == nil {
		out.pending = make(map[uint64][]byte)
	}
	out.pending[e.Index] = e.Data
}

// takeChunk adds the attempt's next chunk to the stage's output.
func (m *Machine) takeChunk(a *attempt, data []byte) {
	s := a.stage
	a.output.next++
	a.chunkAt = m.now
	_, _ = a.output.digest.Write(data) // never fails
	if s.leader == nil {
		m.lead(a)
	}
	if s.leader != a {
		return
	}
	s.output = append(s.output, data)
	m.emit(s)
}

// lead makes the attempt the one whose chunks are taken, and cancels the others.
func (m *Machine) lead(a *attempt) {
	s := a.stage
	s.leader = a
	if s.call.State() == "hedged" {
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
			m.cancel(other, reason, EndCancelled, "another attempt went ahead")
		case other.state == choosing:
			m.end(other, EndCancelled, "")
		}
	}
}

// emit hands the caller the chunks that it lacks, if s is the last stage.
func (m *Machine) emit(s *stage) {
	if s.index != len(m.stages)-1 || m.ending != nil {
		return
	}
	for ; m.emitted < uint64(len(s.output)); m.emitted++ {
		if m.emitted == 0 {
			m.fireLife("first_chunk")
		}
		m.do(Emit{Index: m.emitted, Data: s.output[m.emitted]})
	}
}

// onDone keeps the closing event and closes the output if all chunks are there.
func (m *Machine) onDone(e Done) {
	a := m.find(e.Attempt)
	if a == nil || a.state != sent {
		m.doneLate(a)
		return
	}
	m.showStarted(a)
	a.loose = false
	if a.output.closing == nil {
		a.output.closing = &e
	}
	m.tryClose(a)
}

// doneLate takes notice of a cancelled claimed attempt that ran to its end.
func (m *Machine) doneLate(a *attempt) {
	m.dropped(a, "the end of an attempt that has ended")
	if a != nil && a.state == cancelling && a.stage.spec.NonIdempotent {
		a.stage.claim.mayHaveRun = true
		a.state = ended
		m.trySettle()
	}
}

// tryClose ends the stage if the attempt's output is whole, or gives the attempt
// up if its count or digest is wrong.
func (m *Machine) tryClose(a *attempt) {
	closing := a.output.closing
	if closing == nil || a.state != sent || a.output.next < closing.Chunks {
		return
	}
	if a.output.next > closing.Chunks || a.output.digest.Sum64() != closing.Digest {
		m.corrupt(a)
		return
	}
	if a.stage.leader != nil && a.stage.leader != a {
		return
	}
	m.cancelOthers(a, CancelHedgeLost)
	m.complete(a)
}

// complete ends the stage with the attempt's whole output.
func (m *Machine) complete(a *attempt) {
	s := a.stage
	m.end(a, EndOK, "")
	if s.spec.NonIdempotent {
		// The result is acknowledged only once the claim holds it: until then the
		// side's copy is the only one that outlives this process.
		s.claim.mayHaveRun = true
		m.finish(a)
	} else {
		m.do(Acknowledge{Attempt: a.id})
	}
	m.fire(s, "done")
	m.stageDone(s)
}

// stageDone goes on behind a stage whose whole output is there.
func (m *Machine) stageDone(s *stage) {
	s.done = true
	if m.ending != nil {
		m.trySettle()
		return
	}
	if s.index < len(m.stages)-1 {
		m.fireLife("stage_done")
	}
	if s.spec.NonIdempotent {
		m.prepareClaim()
	}
	m.emit(s)
	m.enter(s.index + 1)
}

// corrupt handles an output that does not match its closing event. Nothing of it
// may be used; if the caller has a part already, the request fails.
func (m *Machine) corrupt(a *attempt) {
	const detail = "the output does not match its count and digest"
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
	m.attemptFailed(a, EndFailed, detail)
}

// deliver ends the request with its whole answer.
func (m *Machine) deliver() {
	m.fireLife("delivered")
	m.answered = true
	m.do(Answer{Outcome: "answered"})
}
