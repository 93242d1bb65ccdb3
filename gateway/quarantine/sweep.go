package quarantine

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// sweepEvery is how often a gateway looks for objects of trials that are left. It is not below
// the time for which a crash counts, so that one that it sees twice belongs to crashes that count
// no longer.
const sweepEvery = time.Hour

// Sweep removes the objects of trials whose requests were never cleared, until ctx ends: a client with
// ever new requests that crash upstreams would fill the store. The first round comes at a random
// time, so that gateways that start together do not list the kind together.
func (g *Guard) Sweep(ctx context.Context) error {
	clock.Sleep(ctx, rand.N(sweepEvery))
	var seen map[string]int64
	for ctx.Err() == nil {
		seen = g.sweep(ctx, seen)
		clock.Sleep(ctx, sweepEvery)
	}
	return nil
}

// sweep removes the objects that were there with the same revision in the round before, and whose
// requests have no crashes that count. It returns the revisions of the others, or those of the
// round before if the store does not tell.
func (g *Guard) sweep(ctx context.Context, before map[string]int64) map[string]int64 {
	listed, _, err := g.options.Store().List(ctx, TrialKind)
	if err != nil {
		g.options.Logger.Warn(event.TrialsUnlisted, observe.Fields{"error": err.Error()})
		return before
	}
	kept := make(map[string]int64, len(listed))
	removed := 0
	for _, object := range listed {
		if before[object.Name] == object.Revision && g.isLeft(object.Name) && g.removeTrial(ctx, object) {
			removed++
			continue
		}
		kept[object.Name] = object.Revision
	}
	if removed > 0 {
		g.options.Logger.Event(event.TrialsRemoved, observe.Fields{"removed": removed, "left": len(kept)})
	}
	return kept
}

// isLeft tells whether the request of a trial's object has no crashes that count. The object of which that
// can't be told is not this product's.
func (g *Guard) isLeft(name string) bool {
	text, _, _ := strings.Cut(name, "-")
	request, err := fingerprint.Parse(text)
	return err == nil && g.judge(request).Crashes == 0
}

// removeTrial removes an object that has not changed since it was listed.
func (g *Guard) removeTrial(ctx context.Context, object replica.Object) bool {
	err := g.options.Store().Delete(ctx, TrialKind, object.Name, object.Revision)
	if err != nil && !fault.Is(err, fault.NotFound) { // another gateway may be first
		g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": object.Name, "error": err.Error()})
		return false
	}
	g.dropTrial(object.Name)
	return true
}
