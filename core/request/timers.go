package request

import (
	"time"

	"acaciawinch/core/latency"
)

// timers acts on what has become due.
func (m *Machine) timers() {
	if m.answered {
		m.endFollowing()
		return
	}
	if m.ending != nil {
		m.trySettle()
		return
	}
	if !m.now.Before(m.lastMoment()) {
		m.giveUp(ending{
			cause:      GiveUpDeadline,
			step:       m.step(),
			detail:     "the deadline passed",
			retryAfter: m.rules.RetryAfterFailure,
		})
		return
	}
	for _, a := range m.attempts {
		if m.ending != nil {
			return
		}
		m.attemptTimers(a)
	}
}

// attemptTimers acts on what is due for one attempt.
func (m *Machine) attemptTimers(a *attempt) {
	if !a.live() {
		return
	}
	if due, reason, ok := m.silenceDue(a); ok && !m.now.Before(due) {
		m.leave(a, EndSilent, reason)
		return
	}
	if due, ok := m.hedgeDue(a); ok && !m.now.Before(due) {
		m.hedge(a)
	}
	if m.pingWanted(a) && !m.now.Before(a.pingDue) {
		a.pinging = true
		m.do(Ping{Attempt: a.id})
	}
}

// pingWanted tells whether the attempt's side is to be asked when it is silent.
func (m *Machine) pingWanted(a *attempt) bool { return a.state == sent && !a.pinging }

// silenceDue returns when the attempt counts as stalled although its side lives:
// the time in the queue does not count, so it starts when the upstream has the
// attempt. A claimed attempt is waited for, since no other may take its place.
func (m *Machine) silenceDue(a *attempt) (time.Time, string, bool) {
	if a.stage.spec.NonIdempotent || a.state != sent || !a.started {
		return time.Time{}, "", false
	}
	e := m.estimate(a.stage)
	// Each attempt that was left doubles the patience with the next: if all are
	// slow, it is not the upstream, and another attempt only adds to the cause.
	patience := min(a.stage.left, maxDoublings)
	bound := m.withRoomForAnother(latency.FirstBound(e)<<patience, max(e.FirstP95, e.ServiceP95), a.startedAt)
	due, reason := a.startedAt.Add(bound), "no first chunk within the bound"
	if a.output.next > 0 {
		bound = m.withRoomForAnother(latency.GapBound(e)<<patience, e.GapP95, a.chunkAt)
		due, reason = a.chunkAt.Add(bound), "no further chunk within the bound"
	}
	if due.Before(a.stayUntil) {
		due = a.stayUntil
	}
	return due, reason, true
}

// withRoomForAnother shortens a bound on silence that began at since, so that a
// second attempt still fits before the deadline, but not so far that a call which
// is merely slow, as some are known to be, counts as silent.
func (m *Machine) withRoomForAnother(bound, usual time.Duration, since time.Time) time.Duration {
	room := m.deadline.Sub(since) / shareOfSilence
	return min(bound, max(room, slowFactor*usual, m.rules.StayFor))
}

// The longest share of the time left that is spent on silence, and how many times
// the usual high quantile is still a slow call.
const (
	shareOfSilence = 3
	slowFactor     = 2
	// maxDoublings bounds how often the patience with silence doubles.
	maxDoublings = 4
)

// lastMoment returns when the request is given up for its deadline. While a
// claimed attempt has not started it is a little earlier, so that the side can
// still prove that it never will.
func (m *Machine) lastMoment() time.Time {
	for _, a := range m.attempts {
		if a.live() && a.stage.spec.NonIdempotent && !a.started && !a.foreign {
			return m.deadline.Add(-m.rules.SettleMargin)
		}
	}
	return m.deadline
}

// Wake returns when Tick is wanted next.
func (m *Machine) Wake() time.Time {
	switch {
	case m.answered:
		return m.followUntil()
	case m.ending != nil:
		return m.ending.settleUntil
	}
	wake := m.lastMoment()
	for _, a := range m.attempts {
		if a.live() {
			wake = m.earliest(wake, a)
		}
	}
	return wake
}

// earliest returns the earliest of wake and the attempt's own times.
func (m *Machine) earliest(wake time.Time, a *attempt) time.Time {
	if m.pingWanted(a) && a.pingDue.Before(wake) {
		wake = a.pingDue
	}
	if due, _, ok := m.silenceDue(a); ok && due.Before(wake) {
		wake = due
	}
	if due, ok := m.hedgeDue(a); ok && due.Before(wake) {
		wake = due
	}
	return wake
}
