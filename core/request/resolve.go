package request

import (
	"github.com/cespare/xxhash/v2"
)

// resolve queries the sidecar for the outcome of a claimed attempt.
func (m *Machine) resolve(a *attempt, reason string) {
	s := a.stage
	if s.index == len(m.stages)-1 && m.emitted > 0 && a.output.closing != nil {
		// The output turned out corrupt, and the caller already has chunks of it.
		m.giveUpUnresolved(a, EndFailed, reason)
		return
	}
	a.state = resolving
	if state := s.callChart.State(); state == "dispatched" || state == "receiving" {
		m.fire(s, "broken")
	}
	wait := m.rules.ResolveBackoff << min(a.resolveTries, m.rules.ResolveTries)
	if a.resolveTries == 0 {
		wait = 0
	}
	a.resolveTries++
	m.addAction(Resolve{Attempt: a.id, Stage: s.index, After: wait, Reason: reason})
}

// onResolved handles the sidecar's report on the outcome of a claimed attempt.
func (m *Machine) onResolved(e Resolved) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.state != resolving {
		return
	}
	switch e.Resolution {
	case ResolvedDone:
		m.handleResolvedDone(a, e)
	case ResolvedRunning:
		m.attach(a, m.rules.ResolveBackoff, "the sidecar reports the attempt as running")
	case ResolvedNotRun:
		m.handleNotRun(a, EndRefused, false, "the sidecar never received the attempt")
	case ResolvedUnreachable:
		if a.resolveTries < m.rules.ResolveTries {
			m.resolve(a, e.Detail)
			return
		}
		m.giveUpUnresolved(a, EndSilent, e.Detail)
	default:
		m.giveUpUnresolved(a, EndSilent, e.Detail)
	}
}

// handleResolvedDone takes the whole result from the sidecar's response, which must begin
// with the chunks received before.
func (m *Machine) handleResolvedDone(a *attempt, e Resolved) {
	s := a.stage
	if !hasPrefix(e.Chunks, s.output) {
		m.giveUpUnresolved(a, EndFailed, "the result does not begin with the chunks already received")
		return
	}
	if s.callChart.State() == "reattaching" {
		m.fire(s, "attached")
	}
	s.leader = a
	s.output = e.Chunks
	m.complete(a)
}

// hasPrefix reports whether chunks begin with those of prefix.
func hasPrefix(chunks, prefix [][]byte) bool {
	if len(chunks) < len(prefix) {
		return false
	}
	for i := range prefix {
		if xxhash.Sum64(chunks[i]) != xxhash.Sum64(prefix[i]) {
			return false
		}
	}
	return true
}

// recordResult records the result in the claim.
func (m *Machine) recordResult(a *attempt) {
	s := a.stage
	s.claim.inFlight++
	m.addAction(Finish{Attempt: a.id, Stage: s.index, Chunks: s.output})
}

// onFinished lets the sidecar delete the result once the claim holds it.
func (m *Machine) onFinished(e Finished) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.stage.claim.inFlight == 0 {
		return
	}
	a.stage.claim.inFlight--
	if e.Recorded && a.dispatched {
		m.addAction(Acknowledge{Attempt: a.id})
	}
}

// release gives up the stage's claim if no attempt under it can have run. No caller knows
// a key that the entry generated itself, so the claim of such a key is left to expire.
func (m *Machine) release(s *stage) {
	if !s.claim.held || s.claim.used || s.claim.inFlight > 0 || m.plan.KeyGenerated {
		return
	}
	s.claim.held = false
	s.claim.inFlight++
	m.addAction(Release{Stage: s.index})
}

// onReleased handles the response to a Release.
func (m *Machine) onReleased(e Released) {
	if e.Stage < 0 || e.Stage >= len(m.stages) {
		return
	}
	if s := m.stages[e.Stage]; s.claim.inFlight > 0 {
		s.claim.inFlight--
	}
}
