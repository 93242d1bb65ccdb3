package request

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
)

// ending is why a request is given up.
type ending struct {
	cause      GiveUpCause
	step       string
	detail     string
	retryAfter time.Duration
	// settleUntil bounds the wait for proof that no attempt starts later.
	settleUntil time.Time
}

// eventOf returns the chart event with the given name.
func eventOf(name string) chart.Event { return chart.Event(name) }

// giveUp ends all attempts and answers the caller, at once or as soon as it is proved
// that the cancelled attempts will not start.
func (m *Machine) giveUp(e ending) {
	if m.ending != nil || m.answered {
		return
	}
	e.settleUntil = m.now.Add(m.rules.SettleTimeout)
	if e.cause != GiveUpCallerGone && m.deadline.Before(e.settleUntil) {
		e.settleUntil = m.deadline
	}
	m.ending = &e
	reason := cancelReasonOf(e.cause)
	for _, a := range m.attempts {
		m.endUnneeded(a, reason, e.detail)
	}
	m.releaseUnused()
	m.trySettle()
	if !m.answered {
		m.addAction(Note{Stage: min(m.current, len(m.stages)-1), Kind: NoteSettling, Reason: "waiting for proof that no attempt starts later"})
	}
}

// cancelReasonOf returns the reason to which the cost of the attempts of a
// given-up request is accounted.
func cancelReasonOf(cause GiveUpCause) CancelReason {
	switch cause {
	case GiveUpDeadline, GiveUpOverload:
		return CancelDeadline
	case GiveUpCallerGone:
		return CancelCallerGone
	}
	return CancelSuperseded
}

// endUnneeded ends one attempt of a request or stage that is no longer needed.
//
// A claimed attempt that has started is not cancelled, because its outcome would then
// stay unknown. It continues, and its result is recorded for a retry with the same
// idempotency key. An attempt that belongs to another request is not cancelled either.
func (m *Machine) endUnneeded(a *attempt, reason CancelReason, detail string) {
	switch {
	case a.state == choosing || a.state == ready:
		m.end(a, EndCancelled, "")
	case a.state == claiming:
		// The response to the claim will follow; handleLateClaim handles it.
		m.report(a, EndCancelled, "")
	case !a.live():
	case !a.stage.spec.NonIdempotent:
		m.cancel(a, reason, EndCancelled, detail)
	case a.foreign || a.started || a.state == resolving:
		a.stage.claim.mayHaveRun = true
	default:
		m.cancel(a, reason, EndCancelled, detail)
	}
}

// releaseUnused releases the claims under which nothing was dispatched.
func (m *Machine) releaseUnused() {
	for _, s := range m.stages {
		m.release(s)
	}
}

// onCancelled handles the sidecar's response to a Cancel.
func (m *Machine) onCancelled(e Cancelled) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != cancelling {
		return
	}
	if !a.stage.spec.NonIdempotent {
		if e.Confirmed {
			a.outstanding = false
			a.started = a.started || e.Started
			a.state = ended
			m.trySettle()
		}
		return
	}
	m.endCancelled(a, e.Confirmed && !e.Started && !a.started)
}

// endCancelled ends a cancelled attempt that is no longer awaited. The argument proved is
// set if there is proof that the attempt has not run and never will.
func (m *Machine) endCancelled(a *attempt, proved bool) {
	a.state = ended
	s := a.stage
	if s.spec.NonIdempotent {
		if proved {
			a.outstanding = false
			s.claim.used = false
			m.release(s)
		} else {
			s.claim.mayHaveRun = true
		}
	}
	m.trySettle()
}

// trySettle answers the caller of a given-up request, unless it still waits for
// proof that may change the outcome.
func (m *Machine) trySettle() {
	if m.ending == nil || m.answered {
		return
	}
	if m.unsettled() && m.now.Before(m.ending.settleUntil) {
		return
	}
	m.answerGivenUp()
}

// unsettled reports whether proof that changes the outcome may still arrive: for a
// cancelled claimed attempt or, if the request is refused, for any cancelled
// attempt.
func (m *Machine) unsettled() bool {
	if m.mayHaveRun() {
		return false
	}
	for _, a := range m.attempts {
		if a.state != cancelling {
			continue
		}
		if a.stage.spec.NonIdempotent || m.ending.refusal() {
			return true
		}
	}
	return false
}

// refusal reports whether the request was refused rather than failed.
func (e *ending) refusal() bool {
	switch e.cause {
	case GiveUpOverload, GiveUpNoUpstream, GiveUpUnavailable, GiveUpConflict, GiveUpLimit:
		return true
	}
	return false
}

// answerGivenUp answers the caller with the outcome that is proved by now.
func (m *Machine) answerGivenUp() {
	outcome := m.outcome()
	m.endStages()
	m.fireLifecycleEnd(outcome)
	m.answered = true
	m.addAction(Answer{
		Outcome:    outcome,
		Cause:      m.ending.cause,
		Step:       m.ending.step,
		Detail:     m.ending.detail,
		RetryAfter: m.ending.retryAfter,
	})
}

// outcome returns the most definite outcome for which there is proof.
func (m *Machine) outcome() core.Outcome {
	outstanding, started := false, false
	for _, a := range m.attempts {
		if a.state == cancelling && a.stage.spec.NonIdempotent {
			// The sidecar did not report in time whether the attempt had started.
			a.stage.claim.mayHaveRun = true
		}
		outstanding = outstanding || a.outstanding
		started = started || a.started
	}
	switch {
	case m.mayHaveRun():
		return core.OutcomeUnknown
	case m.emitted > 0:
		return core.OutcomeFailed
	case outstanding:
		return core.OutcomeFailed
	case m.ending.refusal() || !started:
		return core.OutcomeNotRun
	}
	return core.OutcomeFailed
}

// endStages moves the unfinished stages to a final state of their charts.
func (m *Machine) endStages() {
	for _, s := range m.stages {
		switch {
		case s.callChart.Final():
		case s.claim.mayHaveRun && s.callChart.Allows("abandon"):
			m.fire(s, "abandon")
		default:
			m.fire(s, "give_up")
		}
	}
}

// fireLifecycleEnd moves the request to the final state for the outcome.
func (m *Machine) fireLifecycleEnd(outcome core.Outcome) {
	event := "failed"
	switch outcome {
	case core.OutcomeNotRun:
		event = "refused"
	case core.OutcomeUnknown:
		event = "lost_track"
	}
	m.fireLifecycle(eventOf(event))
}

// followUntil returns the time until which claimed attempts are followed after the answer.
func (m *Machine) followUntil() time.Time { return m.deadline.Add(m.rules.FollowGrace) }

// endFollowing stops following claimed attempts once followUntil has passed. Their
// results are not lost: the sidecars keep them, and the claims name the sidecars.
func (m *Machine) endFollowing() {
	if m.now.Before(m.followUntil()) {
		return
	}
	for _, a := range m.attempts {
		if a.live() {
			m.end(a, EndSilent, "")
		}
	}
}
