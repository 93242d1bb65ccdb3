package request

import (
	"time"
)

// claimState is what is known of a non-idempotent stage's claim.
type claimState struct {
	// owner is the attempt that the claim is for.
	owner *attempt
	// held is set while this request owns the claim.
	held bool
	// used is set while a Run under the claim may have reached its side.
	used bool
	// mayHaveRun is set once an attempt may have run without proof of the contrary.
	mayHaveRun bool
	// rounds counts how often the claim was asked for.
	rounds int
	// busy counts the claim's calls that are on their way.
	busy int
}

// mayHaveRun tells whether any non-idempotent stage has run or may have.
func (m *Machine) mayHaveRun() bool {
	for _, s := range m.stages {
		if s.claim.mayHaveRun {
			return true
		}
	}
	return false
}

// prepareClaim chooses the upstream of the next non-idempotent stage and claims
// it, beside the stages before it. It is called at the start and behind each
// non-idempotent stage, so at most one claim is open that has not been used.
func (m *Machine) prepareClaim() {
	for _, s := range m.stages {
		if s.spec.NonIdempotent && !s.done {
			m.choose(m.newAttempt(s, CauseFirst), 0)
			return
		}
	}
}

// claimFor claims the stage for the upstream that was chosen.
func (m *Machine) claimFor(a *attempt) {
	s := a.stage
	s.claim.owner = a
	s.claim.busy++
	a.state = claiming
	m.fire(s, "claim")
	if s.claim.held {
		m.do(Reassign{Attempt: a.id, Stage: s.index, Number: a.number, Reason: "the attempt before has not run"})
		return
	}
	s.claim.rounds++
	m.do(OpenClaim{Attempt: a.id, Stage: s.index, Number: a.number, DispatchWithin: m.untilStage(s)})
}

// untilStage returns how long the stages before s are expected to take.
func (m *Machine) untilStage(s *stage) time.Duration {
	var total time.Duration
	for _, e := range m.estimates()[m.current:max(m.current, s.index)] {
		total += e.Wait + e.ServiceP50
	}
	return total
}

// onClaimed acts on the verdict of the claim.
func (m *Machine) onClaimed(e Claimed) {
	a := m.find(e.Attempt)
	if a == nil || a.stage.claim.owner != a || a.stage.claim.busy == 0 {
		return
	}
	s := a.stage
	s.claim.busy--
	s.claim.held = e.Status == ClaimMine
	if a.state != claiming || m.ending != nil {
		m.claimedLate(a, e)
		return
	}
	switch e.Status {
	case ClaimMine:
		a.state = ready
		if m.current == s.index {
			m.enterClaimed(s)
		}
	case ClaimDone:
		m.claimDone(a, e)
	case ClaimRunning:
		m.followForeign(a)
	default:
		m.claimLost(a, e)
	}
}

// claimedLate handles a verdict that came after the request was given up.
func (m *Machine) claimedLate(a *attempt, e Claimed) {
	m.end(a, EndCancelled, "")
	s := a.stage
	switch e.Status {
	case ClaimMine:
		m.release(s)
	case ClaimDone, ClaimRunning, ClaimUnknown:
		s.claim.mayHaveRun = true
	}
	m.trySettle()
}

// claimLost gives the request up, since its stage can't be claimed.
func (m *Machine) claimLost(a *attempt, e Claimed) {
	s := a.stage
	m.end(a, EndCancelled, "")
	give := ending{cause: GiveUpUnavailable, step: "claim." + s.spec.Name, detail: e.Detail, retryAfter: e.RetryAfter}
	event := "claim_refused"
	switch e.Status {
	case ClaimUnknown:
		s.claim.mayHaveRun = true
		give.cause, event = GiveUpUnknown, "claim_unknown"
	case ClaimInvalid:
		give.cause = GiveUpConflict
	default:
		s.claim.mayHaveRun = e.Seen
		if give.retryAfter == 0 {
			give.retryAfter = m.rules.RetryAfterFailure
		}
	}
	m.fire(s, eventOf(event))
	m.giveUp(give)
}

// claimDone takes the result that an earlier request with the key left behind.
// The stages before it are not needed any more.
func (m *Machine) claimDone(a *attempt, e Claimed) {
	s := a.stage
	m.end(a, EndCancelled, "")
	s.claim.mayHaveRun = true
	s.output = e.Chunks
	m.note(a, NoteKept, "an earlier request with the key has run the stage")
	m.skipTo(s)
	m.fire(s, "claim_done")
	if !e.Recorded {
		m.finish(a)
	}
	m.stageDone(s)
}

// followForeign follows the attempt of another request with the same key.
func (m *Machine) followForeign(a *attempt) {
	s := a.stage
	m.end(a, EndCancelled, "")
	a.foreign = true
	a.dispatched = true
	s.claim.mayHaveRun = true
	m.skipTo(s)
	m.fire(s, "claim_running")
	m.attach(a, 0, "another request with the key has it running")
}

// skipTo makes s the current stage. The stages before it are not needed.
func (m *Machine) skipTo(s *stage) {
	for _, before := range m.stages[:s.index] {
		if before.done || before.call.Final() {
			continue
		}
		for _, a := range m.attempts {
			if a.stage == before {
				m.withdraw(a, CancelSuperseded, "the result of a later stage is known")
			}
		}
		m.fire(before, "give_up")
	}
	m.current = s.index
}

// enterClaimed dispatches the claimed attempt if its claim is held; if not, the
// claim's verdict will.
func (m *Machine) enterClaimed(s *stage) {
	m.lookAhead(s)
	a := s.claim.owner
	if a == nil || a.state != ready || !s.cleared || m.current != s.index {
		return
	}
	if _, fits := m.allowance(s); !fits {
		m.refuseForTime(s)
		return
	}
	// Safe: the claim names this attempt, its upstream and the side's incarnation,
	// and no Run of it has left this process.
	m.fire(s, "claimed")
	s.claim.used = true
	m.send(a)
}

// claimedRefused acts on a refusal of a claimed attempt. Only the answer to the
// Run itself proves anything: an Attach may arrive before the Run.
func (m *Machine) claimedRefused(a *attempt, e Refused) {
	if a.reattached || e.Refusal == RefusalAmbiguous || a.foreign {
		m.resolve(a, "the side refused: "+e.Detail)
		return
	}
	m.notRun(a, EndRefused, e.Refusal == RefusalInvalid, e.Detail)
}

// claimedFailed acts on a failure of a claimed attempt.
func (m *Machine) claimedFailed(a *attempt, e Failed) {
	if a.foreign && !e.MayHaveRun {
		m.resolve(a, e.Detail)
		return
	}
	if e.MayHaveRun {
		m.lost(a, EndFailed, e.Detail)
		return
	}
	m.notRun(a, EndFailed, false, e.Detail)
}

// claimedBroken acts on a broken stream of a claimed attempt.
func (m *Machine) claimedBroken(a *attempt, e Broken) {
	switch {
	case e.NotSent && !a.reattached:
		m.notRun(a, EndSilent, false, e.Detail)
	case a.reattached:
		m.resolve(a, "the stream broke again: "+e.Detail)
	default:
		m.attach(a, 0, "the stream broke: "+e.Detail)
	}
}

// claimedSilent acts on a side that does not answer. The attempt is sought on a
// new connection, in case that only the old one is dead, until patience ends.
func (m *Machine) claimedSilent(a *attempt) {
	if m.now.Sub(a.heardAt) >= m.rules.ClaimedPatience {
		m.lost(a, EndSilent, "the side does not answer")
		return
	}
	heard := a.heardAt
	m.attach(a, 0, "the side does not answer")
	a.heardAt = heard
}

// notRun goes elsewhere after proof that the claimed attempt has not run and
// never will.
func (m *Machine) notRun(a *attempt, how End, final bool, detail string) {
	s := a.stage
	foreign := a.foreign
	a.loose = false
	m.end(a, how, "")
	if m.ending != nil {
		return
	}
	s.claim.mayHaveRun = false
	s.claim.used = false
	s.output = nil
	switch s.call.State() {
	case "reattaching":
		m.fire(s, "not_run")
	default:
		m.fire(s, "refused")
	}
	s.refusals++
	give := ending{cause: s.refusedCause(), step: "stage." + s.spec.Name, detail: detail, retryAfter: s.retryAfter}
	switch {
	case final:
		give.cause = GiveUpFailed
		m.giveUp(give)
	case s.refusals > m.rules.MaxRefusals, foreign && s.claim.rounds >= m.rules.MaxClaimRounds:
		m.giveUp(give)
	default:
		s.claim.owner = nil
		m.choose(m.newAttempt(s, CauseFirst), 0)
	}
}

// lost gives the request up: a claimed attempt may have run and nothing more can
// be learnt in time.
func (m *Machine) lost(a *attempt, how End, detail string) {
	s := a.stage
	m.end(a, how, "")
	s.claim.mayHaveRun = true
	if m.ending != nil {
		return
	}
	m.fire(s, "maybe_ran")
	m.giveUp(ending{cause: GiveUpUnknown, step: "stage." + s.spec.Name, detail: detail, retryAfter: m.rules.RetryAfterFailure})
}
