package request

// checkLaterStages checks, before s is dispatched, whether the slowest of the later
// stages can finish in time. The check is made at admission, so that a request
// that would be refused later is refused at once and at no cost, and again before
// each stage that must run at most once, so that the request does not fail after
// it.
func (m *Machine) checkLaterStages(s *stage) {
	if s.check != nil || s.cleared {
		return
	}
	later := m.slowestLater(s)
	if later == nil || m.mayHaveRun() {
		s.cleared = true
		return
	}
	s.check = m.newAttempt(later, CauseCheck)
	later.attemptCount-- // a check is not an attempt of the stage
	m.choose(s.check, 0)
}

// slowestLater returns the idempotent stage after s with the longest median service
// time, or nil. Non-idempotent stages choose their upstream in advance anyway.
func (m *Machine) slowestLater(s *stage) *stage {
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

// handleCheckRefused gives the request up if a later stage can't finish in time. It does
// not if no work is queued, because the estimate then rests on past measurements alone:
// the stage itself will show how long it takes. If no upstream is fit for the work, the
// check is first retried up to ChooseTries times.
func (m *Machine) handleCheckRefused(a *attempt, e NotChosen) {
	s := a.stage
	unqueued := e.LackOfTime && e.RetryAfter <= m.rules.MaxTrialWait && s.spec.Declared > 0
	switch {
	case unqueued || m.ending != nil:
		m.end(a, EndCancelled, "")
		m.finishCheck(a)
	case !e.LackOfTime && s.choiceRetries < m.rules.ChooseTries:
		s.choiceRetries++
		m.choose(a, m.rules.ChooseBackoff)
	default:
		m.end(a, EndCancelled, "")
		m.giveUp(ending{
			cause:      giveUpCauseOf(e),
			step:       "stage." + s.spec.Name,
			detail:     e.Detail,
			retryAfter: e.RetryAfter,
		})
	}
}

// finishCheck dispatches the stage that waited for the check.
func (m *Machine) finishCheck(a *attempt) {
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

// dispatchReady dispatches the attempt of a stage whose check has passed.
func (m *Machine) dispatchReady(s *stage) {
	if s.spec.NonIdempotent {
		m.dispatchClaimed(s)
		return
	}
	for _, a := range m.attempts {
		if a.stage == s && a.state == ready {
			m.fire(s, "chosen")
			m.send(a)
		}
	}
}
