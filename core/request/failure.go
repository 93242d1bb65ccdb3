package request

import (
	"time"
)

// onRefused goes elsewhere: the side proved that it does not run the attempt.
func (m *Machine) onRefused(e Refused) {
	a := m.find(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	a.loose = a.loose && (e.Refusal == RefusalAmbiguous || a.reattached)
	if a.state == cancelling {
		m.settled(a, e.Refusal != RefusalAmbiguous && !a.reattached)
		return
	}
	if !a.live() {
		return
	}
	s := a.stage
	s.retryAfter = max(s.retryAfter, e.RetryAfter)
	s.late = s.late || e.Late
	if s.spec.NonIdempotent {
		m.claimedRefused(a, e)
		return
	}
	if e.Refusal == RefusalAmbiguous {
		m.attemptFailed(a, EndSilent, e.Detail)
		return
	}
	m.end(a, EndRefused, "")
	if e.Refusal == RefusalInvalid {
		m.giveUp(ending{cause: GiveUpFailed, step: "stage." + s.spec.Name, detail: e.Detail})
		return
	}
	m.elsewhere(a, "refused", e.Detail)
}

// elsewhere chooses another upstream after a refusal. That costs no pass, so it
// does not draw on the retry budget; it is bounded by a count.
func (m *Machine) elsewhere(a *attempt, why, detail string) {
	s := a.stage
	if m.others(a) > 0 {
		m.loseOne(s)
		return
	}
	if s.call.State() == "reattaching" {
		why = "lost"
	}
	m.fire(s, eventOf(why))
	s.refusals++
	if s.refusals > m.rules.MaxRefusals {
		m.giveUp(ending{cause: s.refusedCause(), step: "stage." + s.spec.Name, detail: detail, retryAfter: s.retryAfter})
		return
	}
	m.choose(m.newAttempt(s, m.causeAgain(s)), 0)
}

// refusedCause returns why a request is given up whose stage the sides refused.
func (s *stage) refusedCause() GiveUpCause {
	if s.late {
		return GiveUpOverload
	}
	return GiveUpNoUpstream
}

// loseOne notes that one of two attempts is gone and the other goes on.
func (m *Machine) loseOne(s *stage) {
	if s.call.State() == "hedged" {
		m.fire(s, "failed")
	}
}

// causeAgain returns the cause of a further attempt. An output that the stage's
// upstreams can't go on behind is dropped, unless the caller has it already.
func (m *Machine) causeAgain(s *stage) Cause {
	last := s.index == len(m.stages)-1
	if !s.spec.Resumable && !(last && m.emitted > 0) {
		s.output = nil
	}
	if len(s.output) > 0 {
		return CauseResume
	}
	if s.dispatched == 0 {
		return CauseFirst
	}
	return CauseRetry
}

// onFailed tries again under the retry budget.
func (m *Machine) onFailed(e Failed) {
	a := m.find(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	a.loose = false
	a.started = a.started || e.MayHaveRun
	if a.state == cancelling {
		m.settled(a, !e.MayHaveRun)
		return
	}
	if !a.live() {
		return
	}
	if a.stage.spec.NonIdempotent {
		m.claimedFailed(a, e)
		return
	}
	m.attemptFailed(a, EndFailed, e.Detail)
}

// attemptFailed ends an idempotent attempt that gave no result, and makes another
// if there is none beside it and the budget allows one.
func (m *Machine) attemptFailed(a *attempt, how End, detail string) {
	s := a.stage
	if a.loose {
		// The side goes on with it for a while, or has yet to get it.
		m.cancel(a, CancelSuperseded, how, detail)
	} else {
		m.end(a, how, "failed")
	}
	if m.others(a) > 0 {
		m.loseOne(s)
		return
	}
	event := "failed"
	if s.call.State() == "reattaching" {
		event = "lost"
	}
	m.fire(s, eventOf(event))
	if m.ending != nil {
		return
	}
	if !m.mayRetry(s) {
		m.giveUp(ending{
			cause:      GiveUpFailed,
			step:       "stage." + s.spec.Name,
			detail:     detail,
			retryAfter: m.rules.RetryAfterFailure,
		})
		return
	}
	m.choose(m.newAttempt(s, m.causeAgain(s)), 0)
}

// mayRetry tells whether one more attempt of the stage may be made, and takes it
// from the budget.
func (m *Machine) mayRetry(s *stage) bool {
	if s.dispatched >= m.rules.MaxAttempts {
		return false
	}
	return m.know.RetryBudget(s.spec.Service).Withdraw(m.now)
}

// onBroken follows the attempt on a new stream to the same side, which keeps it
// for a while; if that breaks too, another upstream takes over.
func (m *Machine) onBroken(e Broken) {
	a := m.find(e.Attempt)
	if a == nil || a.state != sent {
		return
	}
	if a.stage.spec.NonIdempotent {
		m.claimedBroken(a, e)
		return
	}
	switch {
	case e.NotSent && !a.reattached:
		a.loose = false
		m.end(a, EndSilent, "")
		m.elsewhere(a, "refused", e.Detail)
	case a.reattached || m.others(a) > 0:
		m.attemptFailed(a, EndSilent, e.Detail)
	default:
		m.attach(a, 0, "the stream broke: "+e.Detail)
	}
}

// attach follows the attempt on a new stream.
func (m *Machine) attach(a *attempt, after time.Duration, reason string) {
	a.state = sent
	a.reattached = true
	m.heard(a)
	a.pingDue = a.pingDue.Add(after)
	if state := a.stage.call.State(); state == "dispatched" || state == "receiving" {
		m.fire(a.stage, "broken")
	}
	m.do(Attach{Attempt: a.id, Stage: a.stage.index, From: a.output.next, After: after, Reason: reason})
}

// onPinged leaves an attempt whose side does not answer at all.
func (m *Machine) onPinged(e Pinged) {
	a := m.find(e.Attempt)
	if a == nil || !a.live() || !a.pinging {
		return
	}
	a.pinging = false
	if e.Alive {
		a.pingEvery = min(2*a.pingEvery, m.rules.PingMax)
		a.pingDue = m.now.Add(a.pingEvery)
		if a.stage.spec.NonIdempotent {
			a.heardAt = m.now
		}
		return
	}
	a.pingDue = m.now.Add(m.rules.PingAfter)
	if a.stage.spec.NonIdempotent {
		m.claimedSilent(a)
		return
	}
	m.leave(a, EndSilent, "the side does not answer")
}

// leave gives up an idempotent attempt that shows no progress, and makes another
// if there is none beside it. While no retry is allowed the attempt is kept: a
// slow answer is better than none.
func (m *Machine) leave(a *attempt, how End, reason string) {
	s := a.stage
	if m.others(a) > 0 {
		m.cancel(a, CancelSuperseded, how, reason)
		m.loseOne(s)
		return
	}
	if _, fits := m.allowance(s); !fits || !m.mayRetry(s) {
		a.stayUntil = m.now.Add(m.rules.StayFor)
		a.pingDue = a.stayUntil
		m.note(a, NoteStayed, reason+", but there is no time or budget for another")
		return
	}
	s.left++
	m.note(a, NoteLeft, reason)
	m.cancel(a, CancelSuperseded, how, reason)
	event := "failed"
	if s.call.State() == "reattaching" {
		event = "lost"
	}
	m.fire(s, eventOf(event))
	m.choose(m.newAttempt(s, m.causeAgain(s)), 0)
}
