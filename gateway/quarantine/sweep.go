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

// sweepInterval is how often a gateway looks for orphaned trial objects. It is not shorter than
// the time for which a crash counts, so that the crashes of a trial object seen twice no longer
// count.
const sweepInterval = time.Hour

// Sweep removes the objects of trials whose requests were never cleared, until ctx ends.
// Without it, a client with ever new requests that crash upstreams would fill the store. The
// first round starts after a random delay, so that gateways that start together do not list the
// objects at the same time.
func (g *Guard) Sweep(ctx context.Context) error {
	clock.Sleep(ctx, rand.N(sweepInterval))
	var seen map[string]int64
	for ctx.Err() == nil {
		seen = g.sweep(ctx, seen)
		g.forgetForeign()
		clock.Sleep(ctx, sweepInterval)
	}
	return nil
}

// forgetForeign forgets the reservations of others, which have long ended.
func (g *Guard) forgetForeign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.foreign)
}

// sweep removes the trial objects that had the same revision in the previous round and whose
// requests have no crashes that count. It returns the revisions of the remaining objects by name,
// or those of the previous round if the objects could not be listed.
func (g *Guard) sweep(ctx context.Context, before map[string]int64) map[string]int64 {
	listed, err := g.options.Store().List(ctx, TrialKind)
	if err != nil {
		g.options.Logger.Warn(event.TrialsUnlisted, observe.Fields{"error": err.Error()})
		return before
	}
	kept := make(map[string]int64, len(listed.Objects))
	removed := 0
	for _, object := range listed.Objects {
		if before[object.Name] == object.Revision && g.isOrphaned(object.Name) && g.removeTrial(ctx, object) {
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

// isOrphaned reports whether an object is a reservation, or one of a trial whose request has no
// crashes that count. It returns false for a name without a valid fingerprint, as that object was
// not written by a gateway.
func (g *Guard) isOrphaned(name string) bool {
	if strings.HasPrefix(name, reservationPrefix) {
		return true
	}
	text, _, _ := strings.Cut(name, "-")
	request, err := fingerprint.Parse(text)
	return err == nil && g.judge(request).Crashes == 0
}

// removeTrial removes an object that has not changed since it was listed, and reports whether
// the object is gone.
func (g *Guard) removeTrial(ctx context.Context, object replica.Object) bool {
	err := g.options.Store().Delete(ctx, TrialKind, object.Name, object.Revision)
	if err != nil && !fault.Is(err, fault.NotFound) { // another gateway may have removed it
		g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": object.Name, "error": err.Error()})
		return false
	}
	g.forgetTrial(object.Name)
	return true
}
