package request

import (
	"time"
)

// onRefused chooses another upstream if the sidecar proved that it does not run the
// attempt.
func (m *Machine) onRefused(e Refused) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	a.outstanding = a.outstanding && (e.Refusal == RefusalAmbiguous || a.reattached)
	if a.state == cancelling {
		m.endCancelled(a, e.Refusal != RefusalAmbiguous && !a.reattached)
		return
	}
	if !a.live() {
		return
	}
	s := a.stage
	s.retryAfter = max(s.retryAfter, e.RetryAfter)
	s.lackOfTime = s.lackOfTime || e.LackOfTime
	if s.spec.NonIdempotent {
		m.handleClaimedRefused(a, e)
		return
	}
	if e.Refusal == RefusalAmbiguous {
		m.handleAttemptFailed(a, EndSilent, e.Detail)
		return
	}
	m.end(a, EndRefused, "")
	if e.Refusal == RefusalInvalid {
		m.giveUp(ending{cause: GiveUpFailed, step: "stage." + s.spec.Name, detail: e.Detail})
		return
	}
	m.chooseAnother(a, "refused", e.Detail)
}

// chooseAnother chooses another upstream after a refusal. The refused attempt did
// no work, so this does not draw on the retry budget; MaxRefusals bounds it.
func (m *Machine) chooseAnother(a *attempt, event, detail string) {
	s := a.stage
	if m.liveOthers(a) > 0 {
		m.endHedging(s)
		return
	}
	if s.callChart.State() == "reattaching" {
		event = "lost"
	}
	m.fire(s, eventOf(event))
	s.refusals++
	if s.refusals > m.rules.MaxRefusals {
		m.giveUp(ending{cause: s.giveUpCauseOfRefusals(), step: "stage." + s.spec.Name, detail: detail, retryAfter: s.retryAfter})
		return
	}
	m.choose(m.newAttempt(s, m.retryCause(s)), 0)
}

// giveUpCauseOfRefusals returns the cause of giving up a request whose stage was refused
// by the sidecars.
func (s *stage) giveUpCauseOfRefusals() GiveUpCause {
	if s.lackOfTime {
		return GiveUpOverload
	}
	return GiveUpNoUpstream
}

// endHedging records that one of two hedged attempts ended and the other continues.
func (m *Machine) endHedging(s *stage) {
	if s.callChart.State() == "hedged" {
		m.fire(s, "failed")
	}
}

// retryCause returns the cause of a further attempt. Output that the stage's
// upstreams can't resume is dropped, unless the caller already has it.
func (m *Machine) retryCause(s *stage) Cause {
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

// onFailed retries the attempt if the retry budget allows it.
func (m *Machine) onFailed(e Failed) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state == ended {
		return
	}
	a.outstanding = false
	a.started = a.started || e.MayHaveRun
	if a.state == cancelling {
		m.endCancelled(a, !e.MayHaveRun)
		return
	}
	if !a.live() {
		return
	}
	if a.stage.spec.NonIdempotent {
		m.handleClaimedFailed(a, e)
		return
	}
	m.handleAttemptFailed(a, EndFailed, e.Detail)
}

// handleAttemptFailed ends an idempotent attempt without a result, and starts another one
// if no other is live and the retry budget allows it.
func (m *Machine) handleAttemptFailed(a *attempt, how End, detail string) {
	s := a.stage
	if a.outstanding {
		// The sidecar may still run the attempt, or receive it later.
		m.cancel(a, CancelSuperseded, how, detail)
	} else {
		m.end(a, how, "failed")
	}
	if m.liveOthers(a) > 0 {
		m.endHedging(s)
		return
	}
	event := "failed"
	if s.callChart.State() == "reattaching" {
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
	m.choose(m.newAttempt(s, m.retryCause(s)), 0)
}

// mayRetry reports whether one more attempt of the stage may be made. If the number of
// attempts allows it, this takes the attempt from the retry budget.
func (m *Machine) mayRetry(s *stage) bool {
	if s.dispatched >= m.rules.MaxAttempts {
		return false
	}
	return m.services.RetryBudget(s.spec.Service).Withdraw(m.now)
}

// onBroken attaches to the attempt on a new stream to the same sidecar, which keeps
// the attempt for a while; if that stream breaks too, another upstream takes over.
func (m *Machine) onBroken(e Broken) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != sent {
		return
	}
	if a.stage.spec.NonIdempotent {
		m.handleClaimedBroken(a, e)
		return
	}
	switch {
	case e.NotSent && !a.reattached:
		a.outstanding = false
		m.end(a, EndSilent, "")
		m.chooseAnother(a, "refused", e.Detail)
	case a.reattached || m.liveOthers(a) > 0:
		m.handleAttemptFailed(a, EndSilent, e.Detail)
	default:
		m.attach(a, 0, "the stream broke: "+e.Detail)
	}
}

// attach opens a new stream of the attempt.
func (m *Machine) attach(a *attempt, after time.Duration, reason string) {
	a.state = sent
	a.reattached = true
	m.markSeen(a)
	a.pingDue = a.pingDue.Add(after)
	if state := a.stage.callChart.State(); state == "dispatched" || state == "receiving" {
		m.fire(a.stage, "broken")
	}
	m.addAction(Attach{Attempt: a.id, Stage: a.stage.index, From: a.output.next, After: after, Reason: reason})
}

// onPinged handles the result of a ping: an idempotent attempt whose sidecar does
// not respond is replaced.
func (m *Machine) onPinged(e Pinged) {
	a := m.findAttempt(e.Attempt)
	if a == nil || !a.live() || !a.pinging {
		return
	}
	a.pinging = false
	if e.Alive {
		a.pingEvery = min(2*a.pingEvery, m.rules.PingMax)
		a.pingDue = m.now.Add(a.pingEvery)
		if a.stage.spec.NonIdempotent {
			a.lastSeen = m.now
		}
		return
	}
	a.pingDue = m.now.Add(m.rules.PingAfter)
	if a.stage.spec.NonIdempotent {
		m.handleClaimedSilent(a)
		return
	}
	m.replaceStalled(a, EndSilent, "the sidecar does not respond")
}

// replaceStalled cancels an idempotent attempt without progress, and starts another one
// if no other is live. While no retry is allowed the attempt is kept for a further
// KeepSilentFor: a slow result is better than none.
func (m *Machine) replaceStalled(a *attempt, how End, reason string) {
	s := a.stage
	if m.liveOthers(a) > 0 {
		m.cancel(a, CancelSuperseded, how, reason)
		m.endHedging(s)
		return
	}
	if _, fits := m.allowance(s); !fits || !m.mayRetry(s) {
		a.keepUntil = m.now.Add(m.rules.KeepSilentFor)
		a.pingDue = a.keepUntil
		m.note(a, NoteAttemptKept, reason+"; kept, since there is no time or budget for another attempt")
		return
	}
	s.stalled++
	m.note(a, NoteReplaced, reason)
	m.cancel(a, CancelSuperseded, how, reason)
	event := "failed"
	if s.callChart.State() == "reattaching" {
		event = "lost"
	}
	m.fire(s, eventOf(event))
	m.choose(m.newAttempt(s, m.retryCause(s)), 0)
}
