package request

import (
	"time"
)

// claimState is the state of a non-idempotent stage's claim.
type claimState struct {
	// owner is the attempt that the claim is for.
	owner *attempt
	// held is set while this request owns the claim.
	held bool
	// used is set while a Run under the claim may have reached its sidecar, without proof
	// that the attempt has not run.
	used bool
	// mayHaveRun is set once an attempt has run, or no proof shows that it has not.
	mayHaveRun bool
	// rounds counts the OpenClaim calls.
	rounds int
	// inFlight counts the claim's calls in flight.
	inFlight int
}

// mayHaveRun reports whether any non-idempotent stage has run or may have run.
func (m *Machine) mayHaveRun() bool {
	for _, s := range m.stages {
		if s.claim.mayHaveRun {
			return true
		}
	}
	return false
}

// prepareClaim chooses the upstream of the next non-idempotent stage and claims
// the stage, while the stages before it run. It is called at the start and after
// each non-idempotent stage, so at most one unused claim is open.
func (m *Machine) prepareClaim() {
	for _, s := range m.stages {
		if s.spec.NonIdempotent && !s.done {
			m.choose(m.newAttempt(s, CauseFirst), 0)
			return
		}
	}
}

// claimFor claims the stage for the upstream chosen for the attempt.
func (m *Machine) claimFor(a *attempt) {
	s := a.stage
	s.claim.owner = a
	s.claim.inFlight++
	a.state = claiming
	m.fire(s, "claim")
	if s.claim.held {
		m.addAction(Reassign{Attempt: a.id, Stage: s.index, Number: a.number, Reason: "the previous attempt has not run"})
		return
	}
	s.claim.rounds++
	m.addAction(OpenClaim{Attempt: a.id, Stage: s.index, Number: a.number, DispatchWithin: m.untilStage(s)})
}

// untilStage returns how long the stages before s are expected to take.
func (m *Machine) untilStage(s *stage) time.Duration {
	var total time.Duration
	for _, e := range m.estimates()[m.current:max(m.current, s.index)] {
		total += e.Wait + e.ServiceP50
	}
	return total
}

// onClaimed handles the status of the claim.
func (m *Machine) onClaimed(e Claimed) {
	a := m.findAttempt(e.Attempt)
	if a == nil || a.stage.claim.owner != a || a.stage.claim.inFlight == 0 {
		return
	}
	s := a.stage
	s.claim.inFlight--
	s.claim.held = e.Status == ClaimOwned
	if a.state != claiming || m.ending != nil {
		m.handleLateClaim(a, e)
		return
	}
	switch e.Status {
	case ClaimOwned:
		a.state = ready
		if m.current == s.index {
			m.dispatchClaimed(s)
		}
	case ClaimDone:
		m.useEarlierResult(a, e)
	case ClaimRunning:
		m.followForeign(a)
	default:
		m.giveUpUnclaimed(a, e)
	}
}

// handleLateClaim handles a claim status that no longer matters to the attempt,
// mostly because the request was given up.
func (m *Machine) handleLateClaim(a *attempt, e Claimed) {
	m.end(a, EndCancelled, "")
	s := a.stage
	switch e.Status {
	case ClaimOwned:
		m.release(s)
	case ClaimDone, ClaimRunning, ClaimUnknown:
		s.claim.mayHaveRun = true
	}
	m.trySettle()
}

// giveUpUnclaimed gives the request up because its stage can't be claimed.
func (m *Machine) giveUpUnclaimed(a *attempt, e Claimed) {
	s := a.stage
	m.end(a, EndCancelled, "")
	reason := ending{cause: GiveUpUnavailable, step: "claim." + s.spec.Name, detail: e.Detail, retryAfter: e.RetryAfter}
	event := "claim_refused"
	switch e.Status {
	case ClaimUnknown:
		s.claim.mayHaveRun = true
		reason.cause, event = GiveUpUnresolved, "claim_unknown"
	case ClaimInvalid:
		reason.cause = GiveUpConflict
	default:
		s.claim.mayHaveRun = e.MayHaveRun
		if reason.retryAfter == 0 {
			reason.retryAfter = m.rules.RetryAfterFailure
		}
	}
	m.fire(s, eventOf(event))
	m.giveUp(reason)
}

// useEarlierResult uses the result of the stage that an earlier request with the same
// idempotency key stored. The stages before this one are no longer needed.
func (m *Machine) useEarlierResult(a *attempt, e Claimed) {
	s := a.stage
	m.end(a, EndCancelled, "")
	s.claim.mayHaveRun = true
	s.output = e.Chunks
	m.note(a, NoteResultKept, "an earlier request with the same idempotency key ran the stage")
	m.skipTo(s)
	m.fire(s, "claim_done")
	if !e.Recorded {
		m.recordResult(a)
	}
	m.stageDone(s)
}

// followForeign attaches to the attempt of another request with the same
// idempotency key.
func (m *Machine) followForeign(a *attempt) {
	s := a.stage
	m.end(a, EndCancelled, "")
	a.foreign = true
	a.dispatched = true
	s.claim.mayHaveRun = true
	m.skipTo(s)
	m.fire(s, "claim_running")
	m.attach(a, 0, "another request with the same idempotency key is running the stage")
}

// skipTo makes s the current stage and cancels the stages before it, which are no
// longer needed.
func (m *Machine) skipTo(s *stage) {
	for _, before := range m.stages[:s.index] {
		if before.done || before.callChart.Final() {
			continue
		}
		for _, a := range m.attempts {
			if a.stage == before {
				m.endUnneeded(a, CancelSuperseded, "the result of a later stage is known")
			}
		}
		m.fire(before, "give_up")
	}
	m.current = s.index
}

// dispatchClaimed dispatches the claimed attempt if its claim is held; otherwise
// onClaimed does so once the claim is granted.
func (m *Machine) dispatchClaimed(s *stage) {
	m.checkLaterStages(s)
	a := s.claim.owner
	if a == nil || a.state != ready || !s.cleared || m.current != s.index {
		return
	}
	if _, fits := m.allowance(s); !fits {
		m.refuseForDeadline(s)
		return
	}
	// This is safe: the claim names this attempt, its upstream and the sidecar's
	// incarnation, and no Run of the attempt has left this process.
	m.fire(s, "claimed")
	s.claim.used = true
	m.send(a)
}

// handleClaimedRefused handles a refusal of a claimed attempt. Only a refusal of the Run
// itself proves that the attempt has not run: an Attach may be refused because it arrived
// before the Run.
func (m *Machine) handleClaimedRefused(a *attempt, e Refused) {
	if a.reattached || e.Refusal == RefusalAmbiguous || a.foreign {
		m.resolve(a, "the sidecar refused the attempt: "+e.Detail)
		return
	}
	m.handleNotRun(a, EndRefused, e.Refusal == RefusalInvalid, e.Detail)
}

// handleClaimedFailed handles the failure of a claimed attempt.
func (m *Machine) handleClaimedFailed(a *attempt, e Failed) {
	if a.foreign && !e.MayHaveRun {
		m.resolve(a, e.Detail)
		return
	}
	if e.MayHaveRun {
		m.giveUpUnresolved(a, EndFailed, e.Detail)
		return
	}
	m.handleNotRun(a, EndFailed, false, e.Detail)
}

// handleClaimedBroken handles a broken stream of a claimed attempt.
func (m *Machine) handleClaimedBroken(a *attempt, e Broken) {
	switch {
	case e.NotSent && !a.reattached:
		m.handleNotRun(a, EndSilent, false, e.Detail)
	case a.reattached:
		m.resolve(a, "the stream broke after reattaching: "+e.Detail)
	default:
		m.attach(a, 0, "the stream broke: "+e.Detail)
	}
}

// handleClaimedSilent handles a sidecar that does not respond. It attaches to the
// attempt on a new connection, in case only the previous one is dead, until
// ClaimedSilenceTimeout has passed.
func (m *Machine) handleClaimedSilent(a *attempt) {
	if m.now.Sub(a.lastSeen) >= m.rules.ClaimedSilenceTimeout {
		m.giveUpUnresolved(a, EndSilent, "the sidecar does not respond")
		return
	}
	lastSeen := a.lastSeen
	m.attach(a, 0, "the sidecar does not respond")
	a.lastSeen = lastSeen
}

// handleNotRun chooses an upstream anew after proof that the claimed attempt has
// not run and never will, or gives the request up if the limits are reached.
func (m *Machine) handleNotRun(a *attempt, how End, final bool, detail string) {
	s := a.stage
	foreign := a.foreign
	a.outstanding = false
	m.end(a, how, "")
	if m.ending != nil {
		return
	}
	s.claim.mayHaveRun = false
	s.claim.used = false
	s.output = nil
	switch s.callChart.State() {
	case "reattaching":
		m.fire(s, "not_run")
	default:
		m.fire(s, "refused")
	}
	s.refusals++
	reason := ending{cause: s.giveUpCauseOfRefusals(), step: "stage." + s.spec.Name, detail: detail, retryAfter: s.retryAfter}
	switch {
	case final:
		reason.cause = GiveUpFailed
		m.giveUp(reason)
	case s.refusals > m.rules.MaxRefusals, foreign && s.claim.rounds >= m.rules.MaxClaimRounds:
		m.giveUp(reason)
	default:
		s.claim.owner = nil
		m.choose(m.newAttempt(s, CauseFirst), 0)
	}
}

// giveUpUnresolved gives the request up because a claimed attempt may have run
// and its outcome can't be determined in time.
func (m *Machine) giveUpUnresolved(a *attempt, how End, detail string) {
	s := a.stage
	m.end(a, how, "")
	s.claim.mayHaveRun = true
	if m.ending != nil {
		return
	}
	m.fire(s, "maybe_ran")
	m.giveUp(ending{cause: GiveUpUnresolved, step: "stage." + s.spec.Name, detail: detail, retryAfter: m.rules.RetryAfterFailure})
}
