package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
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
}

// trialName returns the name of the object of a trial.
func trialName(request fingerprint.Fingerprint, number int) string {
	return fmt.Sprintf("%s-%d", request, number)
}

// acquireTrial reports whether an attempt may make a trial. Without a response of the store it
// may not, because another gateway may make the trial.
func (g *Guard) acquireTrial(ctx context.Context, request fingerprint.Fingerprint, number int, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	outcome, err := g.requestTrial(ctx, request, number, attempt)
	if err != nil {
		outcome = trialOutcome(err.Error())
	}
	g.metrics.trials.Inc(1)
	g.options.Logger.Event(event.TrialAsked, observe.Fields{"fingerprint": request.String(), "request": attempt, "trial": number, "outcome": string(outcome)})
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
)

// requestTrial creates the object of a trial or, if the object exists, reads which gateway owns the
// trial. On an error the owner is unknown.
func (g *Guard) requestTrial(ctx context.Context, request fingerprint.Fingerprint, number int, attempt string) (trialOutcome, error) {
	name := trialName(request, number)
	trial := g.newTrial(request, number, attempt)
	found, err := g.options.Store().Create(ctx, TrialKind, name, trial)
	if err == nil {
		return g.recordTrial(request, number, trial), nil
	}
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Ambiguous) {
		return "", err
	}
	if found.Revision == 0 {
		found, err = g.options.Store().Get(ctx, TrialKind, name)
		if err != nil {
			return "", err
		}
	}
	var existing trialSpec
	if err := json.Unmarshal(found.Spec, &existing); err != nil {
		return "", fmt.Errorf("decode trial %s: %w", name, err)
	}
	if g.isStale(request, number, existing) {
		return trialRemoved, g.options.Store().Delete(ctx, TrialKind, name, found.Revision)
	}
	return g.recordTrial(request, number, existing), nil
}

// newTrial returns the spec of a trial for an attempt.
func (g *Guard) newTrial(request fingerprint.Fingerprint, number int, attempt string) trialSpec {
	g.mu.Lock()
	defer g.mu.Unlock()
	upstreams := g.state.NextTrial(request, number).Upstreams
	return trialSpec{Gateway: g.options.Name, Incarnation: g.options.Incarnation, Attempt: attempt, Upstreams: upstreams}
}

// isStale reports whether a trial was made before its request was last cleared. The trial's object
// remained because the store could not be reached when the request was cleared.
func (g *Guard) isStale(request fingerprint.Fingerprint, number int, trial trialSpec) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := g.state.IsStale(request, core.Trial{Number: number, Upstreams: trial.Upstreams})
	if stale {
		delete(g.madeTrials, trialName(request, number))
	}
	return stale
}

// recordTrial records that a trial is used up. The trial is granted to this call if this
// process owns it and has not made it yet, which is the case when the response of the store was
// lost.
func (g *Guard) recordTrial(request fingerprint.Fingerprint, number int, trial trialSpec) trialOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(request, number)
	g.state.TrialUsed(request, core.Trial{Number: number, Upstreams: trial.Upstreams}, clock.Boot())
	if trial.Gateway != g.options.Name || trial.Incarnation != g.options.Incarnation || g.madeTrials[name] {
		return trialTaken
	}
	g.madeTrials[name] = true
	return trialGranted
}

// ReturnTrial returns the trial of a Pass that did not run, so that a later attempt at this gateway
// may make the trial. reached is set if an upstream rejected the trial.
func (g *Guard) ReturnTrial(request fingerprint.Fingerprint, attempt string, unused Pass, reached bool) {
	if unused.trial == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(request, unused.trial)
	if !g.madeTrials[name] || !g.state.TrialReturned(request, unused.trial, reached) {
		return
	}
	delete(g.madeTrials, name)
	g.options.Logger.Event(event.TrialReturned, observe.Fields{"fingerprint": request.String(), "request": attempt, "trial": unused.trial, "reached": reached})
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
}
