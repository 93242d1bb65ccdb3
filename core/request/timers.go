package request

import (
	"time"

	"acaciawinch/core/latency"
)

// handleTimers handles the timers that are due.
func (m *Machine) handleTimers() {
	if m.answered {
		m.endFollowing()
		return
	}
	if m.ending != nil {
		m.trySettle()
		return
	}
	if !m.now.Before(m.giveUpTime()) {
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
		m.handleAttemptTimers(a)
	}
}

// handleAttemptTimers handles the timers of one attempt that are due.
func (m *Machine) handleAttemptTimers(a *attempt) {
	if !a.live() {
		return
	}
	if due, reason, ok := m.silenceDue(a); ok && !m.now.Before(due) {
		m.replaceStalled(a, EndSilent, reason)
		return
	}
	if due, ok := m.hedgeDue(a); ok && !m.now.Before(due) {
		m.startHedge(a)
	}
	if m.needsPing(a) && !m.now.Before(a.pingDue) {
		a.pinging = true
		m.addAction(Ping{Attempt: a.id})
	}
}

// needsPing reports whether the attempt's sidecar is to be pinged while it is silent.
func (m *Machine) needsPing(a *attempt) bool { return a.state == sent && !a.pinging }

// silenceDue returns the time from which the attempt counts as stalled although its
// sidecar is alive, and the reason. Time in the queue does not count: the silence is
// measured from when the upstream has the attempt. A claimed attempt never counts as
// stalled, since no other may replace it.
func (m *Machine) silenceDue(a *attempt) (time.Time, string, bool) {
	if a.stage.spec.NonIdempotent || a.state != sent || !a.started {
		return time.Time{}, "", false
	}
	e := m.estimate(a.stage)
	// Each stalled attempt doubles the bound for the next: if all of them are slow,
	// the upstream is not to blame, and another attempt only adds to the load.
	doublings := min(a.stage.stalled, maxDoublings)
	bound := m.leaveTimeForRetry(latency.FirstChunkTimeout(e)<<doublings, max(e.FirstChunkP95, e.ServiceP95), a.startedAt)
	due, reason := a.startedAt.Add(bound), "no first chunk within the bound"
	if a.output.next > 0 {
		bound = m.leaveTimeForRetry(latency.ChunkGapTimeout(e)<<doublings, e.ChunkGapP95, a.chunkAt)
		due, reason = a.chunkAt.Add(bound), "no further chunk within the bound"
	}
	if due.Before(a.keepUntil) {
		due = a.keepUntil
	}
	return due, reason, true
}

// leaveTimeForRetry shortens a bound on silence, so that a second attempt still fits
// before the deadline. The bound stays above the usual time of slow calls, so that these
// don't count as silent. The silence began at since.
func (m *Machine) leaveTimeForRetry(bound, usual time.Duration, since time.Time) time.Duration {
	room := m.deadline.Sub(since) / silenceDivisor
	return min(bound, max(room, slowFactor*usual, m.rules.KeepSilentFor))
}

// Limits of the bound on silence.
const (
	// silenceDivisor divides the time from the start of a silence to the deadline. The
	// bound on the silence is shortened to that part of the time.
	silenceDivisor = 3
	// slowFactor is the multiple of the usual 95th percentile up to which a call counts as
	// slow instead of silent.
	slowFactor = 2
	// maxDoublings bounds how often the bound on silence doubles.
	maxDoublings = 4
)

// giveUpTime returns when the request is given up because of its deadline. While a
// claimed attempt has not started, that is SettleMargin before the deadline, so
// that the sidecar can still prove that the attempt will never start.
func (m *Machine) giveUpTime() time.Time {
	for _, a := range m.attempts {
		if a.live() && a.stage.spec.NonIdempotent && !a.started && !a.foreign {
			return m.deadline.Add(-m.rules.SettleMargin)
		}
	}
	return m.deadline
}

// Wake returns when the next Tick is due.
func (m *Machine) Wake() time.Time {
	switch {
	case m.answered:
		return m.followUntil()
	case m.ending != nil:
		return m.ending.settleUntil
	}
	wake := m.giveUpTime()
	for _, a := range m.attempts {
		if a.live() {
			wake = m.earliestTimer(wake, a)
		}
	}
	return wake
}

// earliestTimer returns the earliest of wake and the times of the attempt's timers.
func (m *Machine) earliestTimer(wake time.Time, a *attempt) time.Time {
	if m.needsPing(a) && a.pingDue.Before(wake) {
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
