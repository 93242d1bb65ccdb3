package request

// lookAhead asks, before s is dispatched, whether the costliest of the later
// stages can be made in time. It is asked at the admission, so that a request
// that will be refused is refused at once and costs nothing, and again before a
// stage that must run at most once, so that none is left half done.
func (m *Machine) lookAhead(s *stage) {
	if s.check != nil || s.cleared {
		return
	}
	later := m.costliest(s)
	if later == nil || m.mayHaveRun() {
		s.cleared = true
		return
	}
	s.check = m.newAttempt(later, CauseCheck)
	later.numbers-- // it is no attempt of the stage
	m.choose(s.check, 0)
}

// costliest returns the idempotent stage behind s that takes longest, or nil.
// Claimed stages choose their upstream early anyway.
func (m *Machine) costliest(s *stage) *stage {
	estimates := m.estimates()
	var found *stage
	for _, later := range m.stages[s.index+1:] {
		if later.spec.NonIdempotent || later.done {
			continue
		}
		if found == nil || estimates[later.index].ServiceP50 > estimates[found.index].ServiceP50 {
			found = later
		}
	}
	return found
}

// checkRefused gives the request up if a later stage can't be made. Silence, or a
// measure of the past without a queue, is no proof; the stage itself will tell.
func (m *Machine) checkRefused(a *attempt, e NotChosen) {
	m.end(a, EndCancelled, "")
	s := a.stage
	idle := e.RetryAfter <= m.rules.TrialWait && s.spec.Declared > 0
	if e.Silent || idle || m.ending != nil {
		m.checked(a)
		return
	}
	m.giveUp(ending{
		cause:      GiveUpOverload,
		step:       "stage." + s.spec.Name,
		detail:     e.Detail,
		retryAfter: e.RetryAfter,
	})
}

// checked lets the stage that waited for the check go.
func (m *Machine) checked(a *attempt) {
	if m.ending != nil {
		return
	}
	for _, s := range m.stages {
		if s.check == a {
			s.cleared = true
			m.dispatchReady(s)
		}
	}
}

// dispatchReady dispatches the attempt of a stage that waited for its check.
func (m *Machine) dispatchReady(s *stage) {
	if s.spec.NonIdempotent {
		m.enterClaimed(s)
		return
	}
	for _, a := range m.attempts {
		if a.stage == s && a.state == ready {
			m.fire(s, "chosen")
			m.send(a)
		}
	}
}
