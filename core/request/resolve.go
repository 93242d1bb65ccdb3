package request

import (
	"github.com/cespare/xxhash/v2"
)

// resolve asks the side what became of a claimed attempt.
func (m *Machine) resolve(a *attempt, reason string) {
	s := a.stage
	if s.index == len(m.stages)-1 && m.emitted > 0 && a.output.closing != nil {
		// The caller has chunks that don't belong to the whole output.
		m.lost(a, EndFailed, reason)
		return
	}
	a.state = resolving
	if state := s.call.State(); state == "dispatched" || state == "receiving" {
		m.fire(s, "broken")
	}
	wait := m.rules.ResolveBackoff << min(a.resolves, m.rules.ResolveTries)
	if a.resolves == 0 {
		wait = 0
	}
	a.resolves++
	m.do(Resolve{Attempt: a.id, Stage: s.index, After: wait, Reason: reason})
}

// onResolved acts on what the side says became of a claimed attempt.
func (m *Machine) onResolved(e Resolved) {
	a := m.find(e.Attempt)
	if a == nil || a.state != resolving {
		return
	}
	switch e.Resolution {
	case ResolvedDone:
		m.resolvedDone(a, e)
	case ResolvedRunning:
		m.attach(a, m.rules.ResolveBackoff, "the side has it running")
	case ResolvedNotRun:
		m.notRun(a, EndRefused, false, "the side has never seen it")
	case ResolvedUnreachable:
		if a.resolves < m.rules.ResolveTries {
			m.resolve(a, e.Detail)
			return
		}
		m.lost(a, EndSilent, e.Detail)
	default:
		m.lost(a, EndSilent, e.Detail)
	}
}

// resolvedDone takes the whole result from the side's answer. The chunks that
// are there already must be its beginning.
func (m *Machine) resolvedDone(a *attempt, e Resolved) {
	s := a.stage
	if !beginsWith(e.Chunks, s.output) {
		m.lost(a, EndFailed, "the result does not continue the chunks at hand")
		return
	}
	if s.call.State() == "reattaching" {
		m.fire(s, "attached")
	}
	s.leader = a
	s.output = e.Chunks
	m.complete(a)
}

// beginsWith tells whether chunks begin with those of prefix.
func beginsWith(chunks, prefix [][]byte) bool {
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

// finish records the result in the claim.
func (m *Machine) finish(a *attempt) {
	s := a.stage
	s.claim.busy++
	m.do(Finish{Attempt: a.id, Stage: s.index, Chunks: s.output})
}

// onFinished lets the side forget the result once the claim holds it.
func (m *Machine) onFinished(e Finished) {
	a := m.find(e.Attempt)
	if a == nil || a.stage.claim.busy == 0 {
		return
	}
	a.stage.claim.busy--
	if e.Recorded && a.dispatched {
		m.do(Acknowledge{Attempt: a.id})
	}
}

// release gives back a claim under which nothing has run. A key that the entry
// made itself is known to nobody, so its claim is left to expire.
func (m *Machine) release(s *stage) {
	if !s.claim.held || s.claim.used || s.claim.busy > 0 || m.plan.Minted {
		return
	}
	s.claim.held = false
	s.claim.busy++
	m.do(Release{Stage: s.index})
}

// onReleased notes that the release was answered.
func (m *Machine) onReleased(e Released) {
	if e.Stage < 0 || e.Stage >= len(m.stages) {
		return
	}
	if s := m.stages[e.Stage]; s.claim.busy > 0 {
		s.claim.busy--
	}
}
