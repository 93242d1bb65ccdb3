package request

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// enterStage makes stage i the current one, or ends the request after the last stage.
func (m *Machine) enterStage(i int) {
	m.current = i
	if m.ending != nil {
		return
	}
	if i == len(m.stages) {
		m.answerComplete()
		return
	}
	s := m.stages[i]
	if s.done {
		m.enterStage(i + 1)
		return
	}
	if s.spec.NonIdempotent {
		m.dispatchClaimed(s)
		return
	}
	first := m.newAttempt(s, CauseFirst)
	if i == 0 {
		m.checkLaterStages(s)
	} else {
		s.cleared = true
	}
	m.choose(first, 0)
}

// choose requests the choice of an upstream for the attempt, after a delay. If the
// remaining stages can't finish in time, it gives the request up instead.
func (m *Machine) choose(a *attempt, after time.Duration) {
	allowance, fits := m.allowance(a.stage)
	if !fits {
		m.end(a, EndCancelled, "")
		m.refuseForDeadline(a.stage)
		return
	}
	switch {
	case a.stage.trial:
		allowance = 0
	case a.cause == CauseCheck:
		allowance = time.Duration(float64(allowance) * m.rules.CheckShare)
	}
	m.addAction(Choose{
		Attempt:   a.id,
		Stage:     a.stage.index,
		Remaining: allowance,
		Exclude:   append([]core.UpstreamID(nil), a.stage.exclude...),
		Hedge:     a.cause == CauseHedge,
		Check:     a.cause == CauseCheck,
		After:     after,
	})
}

// refuseForDeadline gives the request up before the stage is dispatched, because
// the remaining stages can't finish before the deadline.
func (m *Machine) refuseForDeadline(s *stage) {
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
		detail:     "the remaining stages can't finish before the deadline",
		retryAfter: max(wait, s.retryAfter),
	})
}

// onChosen dispatches an idempotent attempt, or claims a non-idempotent one.
func (m *Machine) onChosen(e Chosen) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.chosen {
		return
	}
	a.chosen = true
	a.upstream = e.Upstream
	a.expected = e.Expected
	switch {
	case a.cause == CauseCheck:
		m.end(a, EndCancelled, "")
		m.finishCheck(a)
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
	a.outstanding = true
	a.sentAt = m.now
	m.markSeen(a)
	s.dispatched++
	s.exclude = append(s.exclude, a.upstream)
	if a.cause == CauseFirst {
		m.services.RetryBudget(s.spec.Service).Deposit(m.now)
		m.services.HedgeBudget(s.spec.Service).Deposit(m.now)
	}
	m.addAction(Run{
		Attempt:   a.id,
		Stage:     s.index,
		Number:    a.number,
		Cause:     a.cause,
		Remaining: allowance,
		Resume:    len(s.output),
	})
}

// onNotChosen retries the choice, skips the hedge, or gives the request up.
func (m *Machine) onNotChosen(e NotChosen) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != choosing {
		return
	}
	s := a.stage
	s.retryAfter = max(s.retryAfter, e.RetryAfter)
	switch {
	case a.cause == CauseCheck:
		m.handleCheckRefused(a, e)
	case a.cause == CauseHedge:
		m.end(a, EndCancelled, "")
		m.note(a, NoteNoHedge, e.Detail)
	case m.ending != nil || s.done:
		m.end(a, EndCancelled, "")
	case m.mayRetryChoice(s, e):
		s.choiceRetries++
		s.exclude = nil
		m.choose(a, m.rules.ChooseBackoff)
	case m.mayRunTrial(s, e):
		s.trial = true
		m.note(a, NoteTrial, e.Detail)
		m.choose(a, 0)
	default:
		m.end(a, EndCancelled, "")
		m.fire(s, "no_upstream")
		m.giveUp(ending{
			cause:      giveUpCauseOf(e),
			step:       "stage." + s.spec.Name,
			detail:     e.Detail,
			retryAfter: s.retryAfter,
		})
	}
}

// giveUpCauseOf returns the cause of giving up a request for which no upstream was chosen.
func giveUpCauseOf(e NotChosen) GiveUpCause {
	if e.LackOfTime {
		return GiveUpOverload
	}
	return GiveUpNoUpstream
}

// mayRetryChoice reports whether a failed choice is retried: all upstreams may be
// excluded, silent or unfit for a moment. A refusal for lack of time is final,
// unless upstreams that refused for other reasons are excluded, or a
// non-idempotent stage may have run.
func (m *Machine) mayRetryChoice(s *stage, e NotChosen) bool {
	switch {
	case s.choiceRetries >= m.rules.ChooseTries:
		return false
	case e.LackOfTime && s.lackOfTime && !m.mayHaveRun():
		return false
	}
	return !e.LackOfTime || len(s.exclude) > 0
}

// mayRunTrial reports whether a stage is tried although its upstreams are estimated
// to be too slow. While no work is queued, the estimate rests on the last measurements
// alone; if every request were refused because of it, nothing would be measured again.
// The retry budget bounds these trials.
func (m *Machine) mayRunTrial(s *stage, e NotChosen) bool {
	if s.trial || !e.LackOfTime || e.RetryAfter > m.rules.MaxTrialWait || s.spec.Declared == 0 {
		return false
	}
	_, fits := m.bestCaseAllowance(s)
	return fits && m.services.RetryBudget(s.spec.Service).Withdraw(m.now)
}

// startHedge starts a second attempt beside a slow first one, if the hedge budget
// allows it and the second can still finish in time.
func (m *Machine) startHedge(a *attempt) {
	s := a.stage
	s.hedged = true
	if !m.services.HedgeBudget(s.spec.Service).Withdraw(m.now) {
		m.note(a, NoteNoHedge, "the hedge budget is exhausted")
		return
	}
	m.choose(m.newAttempt(s, CauseHedge), 0)
}

// hedgeDue returns the time from which the attempt is slow enough to be hedged, or false
// if it is not to be hedged.
func (m *Machine) hedgeDue(a *attempt) (time.Time, bool) {
	s := a.stage
	if s.hedged || s.spec.NonIdempotent || s.leader != nil || len(s.output) > 0 {
		return time.Time{}, false
	}
	if a.reattached || s.dispatched >= m.rules.MaxAttempts || m.liveOthers(a) > 0 {
		return time.Time{}, false
	}
	delay, pays := latency.HedgeDelay(m.estimate(s), m.deadline.Sub(a.sentAt))
	if !pays {
		return time.Time{}, false
	}
	return a.sentAt.Add(delay), true
}

// sendHedge dispatches a hedge if the slow attempt still has no output.
func (m *Machine) sendHedge(a *attempt) {
	s := a.stage
	slow := s.callChart.Allows("hedge") && s.leader == nil && len(s.output) == 0
	if !slow {
		m.end(a, EndCancelled, "")
		m.note(a, NoteNoHedge, "the first attempt progressed or ended")
		return
	}
	m.fire(s, "hedge")
	m.send(a)
}
