package request

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// enter makes stage i the current one, or ends the request behind the last.
func (m *Machine) enter(i int) {
	m.current = i
	if m.ending != nil {
		return
	}
	if i == len(m.stages) {
		m.deliver()
		return
	}
	s := m.stages[i]
	if s.done {
		m.enter(i + 1)
		return
	}
	if s.spec.NonIdempotent {
		m.enterClaimed(s)
		return
	}
	first := m.newAttempt(s, CauseFirst)
	if i == 0 {
		m.lookAhead(s)
	} else {
		s.cleared = true
	}
	m.choose(first, 0)
}

// choose asks for an upstream for the attempt after a delay.
func (m *Machine) choose(a *attempt, after time.Duration) {
	allowance, fits := m.allowance(a.stage)
	if !fits {
		m.end(a, EndCancelled, "")
		m.refuseForTime(a.stage)
		return
	}
	switch {
	case a.stage.trial:
		allowance = 0
	case a.cause == CauseCheck:
		allowance = time.Duration(float64(allowance) * m.rules.CheckShare)
	}
	m.do(Choose{
		Attempt:   a.id,
		Stage:     a.stage.index,
		Remaining: allowance,
		Exclude:   append([]core.UpstreamID(nil), a.stage.exclude...),
		Hedge:     a.cause == CauseHedge,
		Check:     a.cause == CauseCheck,
		After:     after,
	})
}

// refuseForTime gives the request up before the stage costs anything: the rest
// of the pipeline can't make the deadline.
func (m *Machine) refuseForTime(s *stage) {
	var wait time.Duration
	for _, e := range m.estimates()[s.index:] {
		wait += e.Wait
	}
	cause := GiveUpOverload
	if s.dispatched > 0 {
		cause = GiveUpDeadline
	}
	m.giveUp(ending{
		cause:      cause,
		step:       "stage." + s.spec.Name,
		detail:     "the rest of the pipeline can't make the deadline",
		retryAfter: max(wait, s.retryAfter),
	})
}

// onChosen dispatches an idempotent attempt, or claims a non-idempotent one.
func (m *Machine) onChosen(e Chosen) {
	a := m.find(e.Attempt)
	if a == nil || a.chosen {
		return
	}
	a.chosen = true
	a.upstream = e.Upstream
	a.expected = e.Expected
	switch {
	case a.cause == CauseCheck:
		m.end(a, EndCancelled, "")
		m.checked(a)
	case a.state != choosing || m.ending != nil || a.stage.done:
		m.end(a, EndCancelled, "")
	case a.stage.spec.NonIdempotent:
		m.claimFor(a)
	case a.cause == CauseHedge:
		m.sendHedge(a)
	case !a.stage.cleared:
		a.state = ready
	default:
		m.fire(a.stage, "chosen")
		m.send(a)
	}
}

// send dispatches an attempt.
func (m *Machine) send(a *attempt) {
	s := a.stage
	allowance, fits := m.allowance(s)
	if !fits {
		allowance = m.remaining()
	}
	a.state = sent
	a.dispatched = true
	a.loose = true
	a.sentAt = m.now
	m.heard(a)
	s.dispatched++
	s.exclude = append(s.exclude, a.upstream)
	if a.cause == CauseFirst {
		m.know.RetryBudget(s.spec.Service).Deposit(m.now)
		m.know.HedgeBudget(s.spec.Service).Deposit(m.now)
	}
	m.do(Run{
		Attempt:   a.id,
		Stage:     s.index,
		Number:    a.number,
		Cause:     a.cause,
		Remaining: allowance,
		Resume:    len(s.output),
	})
}

// onNotChosen tries again, does without a hedge, or gives the request up.
func (m *Machine) onNotChosen(e NotChosen) {
	a := m.find(e.Attempt)
	if a == nil || a.state != choosing {
		return
	}
	s := a.stage
	s.retryAfter = max(s.retryAfter, e.RetryAfter)
	switch {
	case a.cause == CauseCheck:
		m.checkRefused(a, e)
	case a.cause == CauseHedge:
		m.end(a, EndCancelled, "")
		m.note(a, NoteNoHedge, e.Detail)
	case m.ending != nil || s.done:
		m.end(a, EndCancelled, "")
	case m.mayChooseAgain(s, e):
		s.chooses++
		s.exclude = nil
		m.choose(a, m.rules.ChooseBackoff)
	case m.mayTry(s, e):
		s.trial = true
		m.note(a, NoteTrial, e.Detail)
		m.choose(a, 0)
	default:
		m.end(a, EndCancelled, "")
		m.fire(s, "no_upstream")
		m.giveUp(ending{
			cause:      causeOf(e),
			step:       "stage." + s.spec.Name,
			detail:     e.Detail,
			retryAfter: s.retryAfter,
		})
	}
}

// causeOf returns why a request without an upstream is given up.
func causeOf(e NotChosen) GiveUpCause {
	if e.Late {
		return GiveUpOverload
	}
	return GiveUpNoUpstream
}

// mayChooseAgain tells whether a failed choice is repeated: all upstreams may be
// excluded, silent or unfit for a moment. A refusal for want of time is final,
// unless upstreams that did not refuse for it are excluded, or a non-idempotent
// stage may have run.
func (m *Machine) mayChooseAgain(s *stage, e NotChosen) bool {
	switch {
	case s.chooses >= m.rules.ChooseTries:
		return false
	case e.Late && s.late && !m.mayHaveRun():
		return false
	}
	return !e.Late || len(s.exclude) > 0
}

// mayTry tells whether a stage that upstreams are said to be too slow for is tried
// all the same. If no queue is to blame, the only ground is what was measured
// last; if every request were refused for it, nothing would be measured again.
// The retry budget bounds the trials.
func (m *Machine) mayTry(s *stage, e NotChosen) bool {
	if s.trial || !e.Late || e.RetryAfter > m.rules.TrialWait || s.spec.Declared == 0 {
		return false
	}
	_, fits := m.leastAllowance(s)
	return fits && m.know.RetryBudget(s.spec.Service).Withdraw(m.now)
}

// hedge starts a second attempt beside a slow first one, if the budget allows it
// and it can still be in time.
func (m *Machine) hedge(a *attempt) {
	s := a.stage
	s.hedged = true
	if !m.know.HedgeBudget(s.spec.Service).Withdraw(m.now) {
		m.note(a, NoteNoHedge, "the hedge budget is empty")
		return
	}
	m.choose(m.newAttempt(s, CauseHedge), 0)
}

// hedgeDue returns when the attempt is slow enough for a hedge, or false.
func (m *Machine) hedgeDue(a *attempt) (time.Time, bool) {
	s := a.stage
	if s.hedged || s.spec.NonIdempotent || s.leader != nil || len(s.output) > 0 {
		return time.Time{}, false
	}
	if a.reattached || s.dispatched >= m.rules.MaxAttempts || m.others(a) > 0 {
		return time.Time{}, false
	}
	delay, pays := latency.HedgeDelay(m.estimate(s), m.deadline.Sub(a.sentAt))
	if !pays {
		return time.Time{}, false
	}
	return a.sentAt.Add(delay), true
}

// sendHedge dispatches a hedge if the slow attempt still shows no output.
func (m *Machine) sendHedge(a *attempt) {
	s := a.stage
	slow := s.call.Allows("hedge") && s.leader == nil && len(s.output) == 0
	if !slow {
		m.end(a, EndCancelled, "")
		m.note(a, NoteNoHedge, "the first attempt went ahead")
		return
	}
	m.fire(s, "hedge")
	m.send(a)
}
