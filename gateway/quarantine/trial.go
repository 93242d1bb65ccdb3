package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
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
	Attempt string `json:"attempt"`
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
	err := g.createTrial(ctx, trialName(request, number), attempt)
	if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.Ambiguous) {
		g.mu.Lock()
		g.book.TrialUsed(request, number)
		g.mu.Unlock()
	}
	outcome := "granted"
	if err != nil {
		outcome = err.Error()
	}
	g.metrics.trials.Inc(1)
	g.options.Logger.Event(event.TrialAsked, observe.Fields{"fingerprint": request.String(), "request": attempt, "trial": number, "outcome": outcome})
	return err == nil
}

// createTrial creates the object of a trial for an attempt. A lost answer is resolved by reading
// the object.
func (g *Guard) createTrial(ctx context.Context, name, attempt string) error {
	wanted := trialSpec{Gateway: g.options.Name, Attempt: attempt}
	_, err := g.options.Store().Create(ctx, TrialKind, name, wanted)
	if !fault.Is(err, fault.Ambiguous) {
		return err
	}
	found, readErr := g.options.Store().Get(ctx, TrialKind, name)
	var holder trialSpec
	if readErr != nil || json.Unmarshal(found.Spec, &holder) != nil || holder != wanted {
		return err
	}
	return nil
}

// keepTrials is how long the objects of trials stay after their request was cleared: until all
// gateways know that, none makes the same trial once more.
const keepTrials = 2 * time.Second

// endTrials removes the objects of the trials of a request that is cleared, so that it has trials
// again if it is refused another time. What fails leaves it with fewer.
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
		if err != nil && !fault.Is(err, fault.NotFound) {
			g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": name, "error": err.Error()})
		}
	}
}
