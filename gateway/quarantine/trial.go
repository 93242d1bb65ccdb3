package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// TrialKind is the kind of the objects that grant trials: whoever creates an object makes its
// trial.
const TrialKind = "acaciawinch-crash-trials"

// trialTimeout bounds a call to the store for a trial, during which the request waits.
const trialTimeout = 500 * time.Millisecond

// trialSpec identifies the owner of a trial.
type trialSpec struct {
	Gateway string `json:"gateway"`
	// Incarnation identifies the run of the gateway: a trial granted to an earlier run was sent
	// or lost.
	Incarnation string `json:"incarnation"`
	Attempt     string `json:"attempt"`
	// Upstreams are the incarnations of upstreams that had already crashed under the request.
	Upstreams []string `json:"upstreams"`
	// Phase is how far the trial has got; empty if its gateway does not record phases.
	Phase trialPhase `json:"phase,omitempty"`
	// Upstream is the incarnation that the trial must go to or was sent to; empty if any may take it.
	Upstream string `json:"upstream,omitempty"`
	// Parts are the parts for which the request was refused, empty if it was refused as a whole.
	Parts []string `json:"parts,omitempty"`
}

// trialPhase is the stored form of core.TrialPhase.
type trialPhase string

// The stored phases of a trial.
const (
	phaseClaimed trialPhase = "claimed"
	phaseSent    trialPhase = "sent"
	// phaseEnded means that the trial has crashed nothing, or that another gateway has ended it before
	// it was sent.
	phaseEnded trialPhase = "ended"
)

// trial returns the trial of a number.
func (spec trialSpec) trial(number int) core.Trial {
	trial := core.Trial{Number: number, Upstreams: spec.Upstreams, Upstream: spec.Upstream}
	if parts, err := requestsOf(spec.Parts); err == nil { // another gateway's build may write parts that this one can't read
		trial.Parts = parts
	}
	switch spec.Phase {
	case phaseClaimed:
		trial.Phase = core.TrialClaimed
	case phaseSent:
		trial.Phase = core.TrialSent
	case phaseEnded:
		trial.Phase = core.TrialEnded
	}
	return trial
}

// trialName returns the name of the object of a trial.
func trialName(request fingerprint.Fingerprint, number int) string {
	return fmt.Sprintf("%s-%d", request, number)
}

// acquireTrial reports whether an attempt may make the trial that a verdict allows. Without a response of the store it
// may not, because another gateway may make the trial.
func (g *Guard) acquireTrial(ctx context.Context, subject core.Subject, verdict core.Verdict, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	outcome, err := g.requestTrial(ctx, subject, verdict, attempt)
	if err != nil {
		outcome = trialOutcome(err.Error())
	}
	g.metrics.trials.Inc(1)
	g.options.Logger.Event(event.TrialAsked, observe.Fields{"fingerprint": verdict.Suspect.String(), "parts": partIDs(verdict.Parts), "request": attempt, "trial": verdict.Trial, "outcome": string(outcome)})
	return outcome == trialGranted
}

// trialOutcome is the logged outcome of a request for a trial.
type trialOutcome string

// Outcomes without an error.
const (
	trialGranted trialOutcome = "granted"
	trialTaken   trialOutcome = "made by another attempt"
	// trialRemoved means that the object belonged to a trial for crashes that have been cleared
	// since, and was removed; the next attempt may make the trial.
	trialRemoved trialOutcome = "stale trial removed"
	// trialNotDue means that the trial before this one is now known to have crashed its upstream.
	trialNotDue trialOutcome = "the last trial crashed its upstream"
)

// requestTrial creates the object of a trial or, if the object exists, reads which gateway owns the
// trial. On an error the owner is unknown.
func (g *Guard) requestTrial(ctx context.Context, subject core.Subject, verdict core.Verdict, attempt string) (trialOutcome, error) {
	request, number := verdict.Suspect, verdict.Trial
	if number > 1 {
		if err := g.endTrial(ctx, request, number-1); err != nil {
			return "", err
		}
		if again := g.judgeSubject(subject); again.Suspect != request || again.Trial != number {
			return trialNotDue, nil
		}
	}
	name := trialName(request, number)
	trial := g.newTrial(verdict, attempt)
	found, err := g.options.Store().Create(ctx, TrialKind, name, trial)
	if err == nil {
		return g.recordTrial(request, number, trial), nil
	}
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Ambiguous) {
		return "", err
	}
	existing, revision, err := g.existingTrial(ctx, name, found)
	if err != nil {
		return "", err
	}
	if g.isStale(request, number, existing) {
		return trialRemoved, g.options.Store().Delete(ctx, TrialKind, name, revision)
	}
	return g.recordTrial(request, number, existing), nil
}

// existingTrial decodes the object of a trial, and reads it first if found is empty.
func (g *Guard) existingTrial(ctx context.Context, name string, found replica.Object) (trialSpec, int64, error) {
	if found.Revision == 0 {
		var err error
		if found, err = g.options.Store().Get(ctx, TrialKind, name); err != nil {
			return trialSpec{}, 0, err
		}
	}
	var existing trialSpec
	if err := json.Unmarshal(found.Spec, &existing); err != nil {
		return trialSpec{}, 0, fmt.Errorf("decode trial %s: %w", name, err)
	}
	return existing, found.Revision, nil
}

// endTrial learns from the store how far a trial got whose outcome is not known. A trial that was
// not sent is ended, so that its gateway, which may only be slow, does not send it any more.
func (g *Guard) endTrial(ctx context.Context, request fingerprint.Fingerprint, number int) error {
	name, era := trialName(request, number), g.options.Era()
	last, revision, err := g.existingTrial(ctx, name, replica.Object{})
	if fault.Is(err, fault.NotFound) {
		return nil // the request was cleared, or an operator removed the object
	}
	if err != nil {
		return err
	}
	if last.Phase == phaseClaimed {
		last.Phase = phaseEnded
		if _, err := g.options.Store().Replace(ctx, TrialKind, name, revision, last); err != nil {
			return err // on a conflict the trial is being sent right now
		}
	}
	if g.options.Era() != era {
		return fault.New(fault.Conflict, "quarantine.trial", name, "the store has returned from an older copy")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.TrialUsed(request, last.trial(number), clock.Boot())
	return nil
}

// newTrial returns the spec of a trial for an attempt.
func (g *Guard) newTrial(verdict core.Verdict, attempt string) trialSpec {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.state.NextTrial(verdict.Suspect, verdict.Trial, verdict.Parts)
	return trialSpec{Parts: textsOf(next.Parts), Gateway: g.options.Name, Incarnation: g.options.Incarnation, Attempt: attempt,
		Upstreams: next.Upstreams, Phase: phaseClaimed, Upstream: next.Upstream}
}

// isStale reports whether a trial was made before its request was last cleared. The trial's object
// remained because the store could not be reached when the request was cleared.
func (g *Guard) isStale(request fingerprint.Fingerprint, number int, trial trialSpec) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := g.state.IsStale(request, trial.trial(number))
	if stale {
		delete(g.madeTrials, trialName(request, number))
		delete(g.returnedTrials, trialName(request, number))
	}
	return stale
}

// recordTrial records that a trial is used up. The trial is granted to this call if this
// process owns it and has not made it yet, which is the case when the response of the store was
// lost or the trial was returned.
func (g *Guard) recordTrial(request fingerprint.Fingerprint, number int, spec trialSpec) trialOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(request, number)
	if required, returned := g.returnedTrials[name]; returned {
		spec.Phase, spec.Upstream = phaseClaimed, required // its object may not say yet that it did not run
	}
	g.state.TrialUsed(request, spec.trial(number), clock.Boot())
	owned := spec.Gateway == g.options.Name && spec.Incarnation == g.options.Incarnation
	if !owned || spec.Phase == phaseEnded || g.madeTrials[name] {
		return trialTaken
	}
	delete(g.returnedTrials, name)
	g.madeTrials[name] = true
	return trialGranted
}

// ReturnTrial returns the trial of a Pass that did not run, so that a later attempt at this gateway
// may make the trial. reached is set if an upstream rejected the trial.
func (g *Guard) ReturnTrial(attempt string, unused Pass, reached bool) {
	if !unused.IsTrial() {
		return
	}
	name := trialName(unused.Suspect, unused.trial)
	again, known := g.returnTrial(unused, reached)
	if !known {
		return
	}
	if again {
		g.options.Logger.Event(event.TrialReturned, observe.Fields{"fingerprint": unused.Suspect.String(), "request": attempt, "trial": unused.trial, "reached": reached})
	}
	go g.recordNotRun(name, unused.Upstream, again)
}

// returnTrial records that the trial of a Pass did not run. It reports whether this gateway may make
// it again, and whether the trial is known.
func (g *Guard) returnTrial(unused Pass, reached bool) (again, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(unused.Suspect, unused.trial)
	if !g.madeTrials[name] {
		return false, false
	}
	again = g.state.TrialReturned(unused.Suspect, unused.trial, reached)
	if again {
		delete(g.madeTrials, name)
		g.returnedTrials[name] = unused.Upstream
	}
	return again, true
}

// recordNotRun records in the object of a trial that it did not run, or that its upstream survived
// it; required is the upstream that the next send must go to. If again is not set, this gateway does
// not make the trial again. If the write fails, the next trial goes to the upstream that this one was
// sent to.
func (g *Guard) recordNotRun(name, required string, again bool) {
	ctx, cancel := context.WithTimeout(g.options.Lifetime, trialTimeout)
	defer cancel()
	spec, revision, err := g.existingTrial(ctx, name, replica.Object{})
	if err == nil && spec.Phase == phaseSent {
		spec.Phase, spec.Upstream = phaseEnded, required
		if again {
			spec.Phase = phaseClaimed
		}
		_, err = g.options.Store().Replace(ctx, TrialKind, name, revision, spec)
	}
	if err != nil && !fault.Is(err, fault.NotFound) {
		g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": name, "error": err.Error()})
	}
}

// TrialEnded is called when a trial was sent to an upstream and ended there, unless the request has
// completed or the upstream closed the connection. If the upstream is still running, the trial has
// not crashed it, and the next one need not go there.
func (g *Guard) TrialEnded(ended Pass, upstream routes.Upstream) {
	go func() {
		if g.options.Listens(g.options.Lifetime, upstream.Address) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.trialSurvived(ended.Suspect, IncarnationOf(upstream))
		}
	}()
}

// trialSurvived records that an upstream has survived the newest trial of a request. g.mu must be held.
func (g *Guard) trialSurvived(request fingerprint.Fingerprint, incarnation string) {
	number := g.state.TrialsOf(request)
	if !g.state.TrialSurvived(request, incarnation) {
		return
	}
	g.options.Logger.Event(event.TrialSurvived, observe.Fields{"fingerprint": request.String(), "trial": number, "upstream": incarnation})
	go g.recordNotRun(trialName(request, number), "", false)
}

// trialRetention is how long the objects of trials are kept after their request was cleared: by
// then all gateways know that it was cleared, and none repeats the trial.
const trialRetention = 2 * time.Second

// removeTrials removes the objects of the trials of a cleared request, so that it has trials
// again if it is refused another time. An object that could not be removed is found to be stale
// when its number is requested again.
func (g *Guard) removeTrials(request fingerprint.Fingerprint, count int) {
	clock.Sleep(g.options.Lifetime, trialRetention)
	for number := 1; number <= count; number++ {
		name := trialName(request, number)
		ctx, cancel := context.WithTimeout(g.options.Lifetime, trialTimeout)
		found, err := g.options.Store().Get(ctx, TrialKind, name)
		if err == nil {
			err = g.options.Store().Delete(ctx, TrialKind, name, found.Revision)
		}
		cancel()
		g.forgetTrial(name)
		if err != nil && !fault.Is(err, fault.NotFound) {
			g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": name, "error": err.Error()})
		}
	}
}

// forgetTrial forgets that this process has made a trial whose object is gone.
func (g *Guard) forgetTrial(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.madeTrials, name)
	delete(g.returnedTrials, name)
}
