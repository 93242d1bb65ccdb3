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

// checkRefused gives the request up if a later stage can't be made. A measure of
// the past without a queue is no proof; the stage itself will tell. Nor is it
// that no upstream is fit, until it stays so for a while.
func (m *Machine) checkRefused(a *attempt, e NotChosen) {
	s := a.stage
	idle := e.Late && e.RetryAfter <= m.rules.TrialWait && s.spec.Declared > 0
	switch {
	case idle || m.ending != nil:
		m.end(a, EndCancelled, "")
		m.checked(a)
	case !e.Late && s.chooses < m.rules.ChooseTries:
		s.chooses++
		m.choose(a, m.rules.ChooseBackoff)
	default:
		m.end(a, EndCancelled, "")
		m.giveUp(ending{
			cause:      causeOf(e),
			step:       "stage." + s.spec.Name,
			detail:     e.Detail,
			retryAfter: e.RetryAfter,
		})
	}
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
