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

// TrialKind is the kind of the objects that grant trials: who creates one makes the trial.
const TrialKind = "acaciawinch-crash-trials"

// trialTimeout bounds the wait for the store's word on a trial, which holds up its request.
const trialTimeout = 500 * time.Millisecond

// trialSpec says who holds a trial.
type trialSpec struct {
	Gateway string `json:"gateway"`
	// Incarnation tells the starts of a gateway apart: what an earlier one was granted was sent or lost.
	Incarnation string `json:"incarnation"`
	Attempt     string `json:"attempt"`
	// Upstreams are the starts of upstreams that had crashed under the request before.
	Upstreams []string `json:"upstreams"`
}

// trialName names the object of a trial.
func trialName(request fingerprint.Fingerprint, number int) string {
	return fmt.Sprintf("%s-%d", request, number)
}

// beginTrial tells whether an attempt may make a trial. Without the store's word it may not:
// another gateway may make it.
func (g *Guard) beginTrial(ctx context.Context, request fingerprint.Fingerprint, number int, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	outcome, err := g.askTrial(ctx, request, number, attempt)
	if err != nil {
		outcome = trialOutcome(err.Error())
	}
	g.metrics.trials.Inc(1)
	g.options.Logger.Event(event.TrialAsked, observe.Fields{"fingerprint": request.String(), "request": attempt, "trial": number, "outcome": string(outcome)})
	return outcome == trialGranted
}

// trialOutcome is what became of the question for a trial, as it is logged.
type trialOutcome string

// Outcomes without an error.
const (
	trialGranted trialOutcome = "granted"
	trialTaken   trialOutcome = "made by another attempt"
	// trialRemoved means that the object of a trial for crashes that were cleared was in the way; the
	// next attempt may make the trial.
	trialRemoved trialOutcome = "an earlier one was removed"
)

// askTrial creates the object of a trial, or looks who holds it. An error means that nothing is known.
func (g *Guard) askTrial(ctx context.Context, request fingerprint.Fingerprint, number int, attempt string) (trialOutcome, error) {
	name := trialName(request, number)
	wanted := g.newTrial(request, number, attempt)
	found, err := g.options.Store().Create(ctx, TrialKind, name, wanted)
	if err == nil {
		return g.useTrial(request, number, wanted), nil
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
	var held trialSpec
	if err := json.Unmarshal(found.Spec, &held); err != nil {
		return "", fmt.Errorf("the trial %s: %w", name, err)
	}
	if g.isPast(request, number, held) {
		return trialRemoved, g.options.Store().Delete(ctx, TrialKind, name, found.Revision)
	}
	return g.useTrial(request, number, held), nil
}

// newTrial returns a trial for an attempt.
func (g *Guard) newTrial(request fingerprint.Fingerprint, number int, attempt string) trialSpec {
	g.mu.Lock()
	defer g.mu.Unlock()
	upstreams := g.book.NextTrial(request, number).Upstreams
	return trialSpec{Gateway: g.options.Name, Incarnation: g.options.Incarnation, Attempt: attempt, Upstreams: upstreams}
}

// isPast tells whether a trial was made before its request was last cleared. Its object stayed as
// the store could not be reached then.
func (g *Guard) isPast(request fingerprint.Fingerprint, number int, held trialSpec) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	past := g.book.IsPast(request, core.Trial{Number: number, Upstreams: held.Upstreams})
	if past {
		delete(g.taken, trialName(request, number))
	}
	return past
}

// useTrial notes that a trial is used up. It is granted to this call if it is held here and was not taken
// before, as when the answer of the store was lost.
func (g *Guard) useTrial(request fingerprint.Fingerprint, number int, held trialSpec) trialOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(request, number)
	g.book.TrialUsed(request, core.Trial{Number: number, Upstreams: held.Upstreams}, clock.Boot())
	if held.Gateway != g.options.Name || held.Incarnation != g.options.Incarnation || g.taken[name] {
		return trialTaken
	}
	g.taken[name] = true
	return trialGranted
}

// Return gives the trial of a Pass back that did not run, so that a later attempt here may make it. With reached set
// an upstream turned it away.
func (g *Guard) Return(request fingerprint.Fingerprint, attempt string, unused Pass, reached bool) {
	if unused.trial == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name := trialName(request, unused.trial)
	if !g.taken[name] || !g.book.TrialReturned(request, unused.trial, reached) {
		return
	}
	delete(g.taken, name)
	g.options.Logger.Event(event.TrialReturned, observe.Fields{"fingerprint": request.String(), "request": attempt, "trial": unused.trial, "reached": reached})
}

// keepTrials is how long the objects of trials stay after their request was cleared: until all
// gateways know that, none makes the same trial once more.
const keepTrials = 2 * time.Second

// endTrials removes the objects of the trials of a request that is cleared, so that it has trials
// again if it is refused another time. One that stays is found to be past when it is in the way.
func (g *Guard) endTrials(request fingerprint.Fingerprint, count int) {
	clock.Sleep(g.options.Life, keepTrials)
	for number := 1; number <= count; number++ {
		name := trialName(request, number)
		ctx, cancel := context.WithTimeout(g.options.Life, trialTimeout)
		found, err := g.options.Store().Get(ctx, TrialKind, name)
		if err == nil {
			err = g.options.Store().Delete(ctx, TrialKind, name, found.Revision)
		}
		cancel()
		g.dropTrial(name)
		if err != nil && !fault.Is(err, fault.NotFound) {
			g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": name, "error": err.Error()})
		}
	}
}

// dropTrial forgets that a trial was taken, as its object is gone.
func (g *Guard) dropTrial(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.taken, name)
}
