package claim_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/claim"
)

// Limits of one interleaving and of the searches.
const (
	stepsPerWorld  = 90
	actorsPerWorld = 5
	settleSteps    = 2000
	interleavings  = 10000
	mutationSeeds  = 200000
)

// runInterleaving runs one interleaving with faults and continues it without faults
// until all actors have ended. It returns the world with the first violation.
func runInterleaving(pick chooser, disabled mutation, newSidecar func(core.Incarnation) sidecar) *world {
	w := newWorld(pick, disabled, newSidecar)
	actors := []*actor{newActor(w)}
	for range stepsPerWorld {
		if w.violation != "" {
			return w
		}
		actors = runTurn(w, actors)
	}
	settle(w, actors)
	return w
}

// runTurn makes one event happen, and returns the actors with any new one.
func runTurn(w *world, actors []*actor) []*actor {
	switch n := w.pick("turn", 24); {
	case n == 0 && len(w.delayed) > 0:
		w.deliver(w.pick("late", len(w.delayed)))
	case n == 1 && w.started < actorsPerWorld:
		actors = append(actors, newActor(w))
	case n == 2:
		ticks := uint64(w.pick("ticks", ticketLifetime)) + 1
		for _, s := range w.sidecars {
			s.tick(ticks)
		}
	case n == 3:
		w.finishRuns(w.sidecars[w.pick("side", 2)])
	case n == 4:
		w.sidecars[w.pick("side", 2)].evict(w)
	case n == 5 && w.pick("restart", 4) == 0:
		w.restart(w.pick("side", 2))
	case n == 6:
		w.down = w.pick("down", 3) == 0
	case n == 7 && w.pick("crash", 4) == 0:
		actors[w.pick("actor", len(actors))].ended = true
		w.lossy = true
	default:
		// All other actors are as if paused.
		if a := actors[w.pick("actor", len(actors))]; !a.ended {
			a.step()
		}
	}
	return actors
}

// settle ends the faults, delivers the delayed messages, and checks that every
// actor ends and that a new one gets a verdict other than unknown, unless a sidecar
// lost state or an entry crashed.
func settle(w *world, actors []*actor) {
	w.faultFree, w.down = true, false
	for len(w.delayed) > 0 {
		w.deliver(0)
	}
	for range 2 {
		actors = append(actors, newActor(w))
	}
	for range settleSteps {
		busy := false
		for _, a := range actors {
			if !a.ended {
				busy = true
				a.step()
			}
		}
		for _, s := range w.sidecars {
			w.finishRuns(s)
		}
		if !busy || w.violation != "" {
			break
		}
	}
	for _, a := range actors {
		if !a.ended {
			w.fail("%s of %s did not end", a.spec.Request, a.spec.Key)
		}
	}
	last := actors[len(actors)-1]
	if !w.lossy && last.status == claim.Unknown {
		w.fail("%s of %s got the verdict unknown though no sidecar lost state", last.spec.Request, last.spec.Key)
	}
}

// TestAtMostOnce runs interleavings of entries, store and sidecars, once with a
// model of the sidecars and once with the real gate. It checks in each that no key
// runs twice, that a request reported as not run never ran, before or after, that
// results go to their own key, and that all requests end when faults stop.
func TestAtMostOnce(t *testing.T) {
	t.Run("model", func(t *testing.T) { checkCoverage(t, runInterleavings(t, newSidecarModel)) })
	t.Run("gate", func(t *testing.T) { runInterleavings(t, newGateSidecar) })
}

// runInterleavings runs the interleavings and returns the transitions that were
// taken.
func runInterleavings(t *testing.T, newSidecar func(core.Incarnation) sidecar) map[string]bool {
	t.Helper()
	taken := make(map[string]bool)
	ran, completed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := runInterleaving(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, none, newSidecar)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		completed++
		ran += len(w.ledger)
		for transition := range w.transitions {
			taken[transition] = true
		}
	})
	t.Logf("%d interleavings, %d keys ran", completed, ran)
	assert.Assert(t, completed >= interleavings)
	assert.Assert(t, ran > interleavings/2, "too few interleavings run a stage")
	return taken
}

// coveredElsewhere lists the transitions that other tests take: they need a deleted
// object or one of another key, which no interleaving here has.
var coveredElsewhere = map[string]bool{"reading mismatch": true, "reading expired": true}

// checkCoverage fails the test if a transition of the claim chart was taken by no
// interleaving.
func checkCoverage(t *testing.T, taken map[string]bool) {
	t.Helper()
	for _, transition := range chart.MustLoad("claim").Transitions {
		name := string(transition.From) + " " + string(transition.Event)
		assert.Assert(t, taken[name] || coveredElsewhere[name], "no interleaving took %q", name)
	}
}

// TestCheckerSeesEachMutation disables one mechanism at a time and expects the
// same checker to find a violation.
func TestCheckerSeesEachMutation(t *testing.T) {
	names := map[mutation]string{
		noTombstone: "no tombstone", noRunIncarnation: "no incarnation check at run",
		noResolveIncarnation: "no incarnation check at resolve", noTicket: "no ticket check",
		noHorizon: "no horizon", noReadBack: "no nonce read-back", noCondition: "no condition on updates",
		noIdentity: "no identity check", noGeneratedKeyRule: "not_run told of a caller's key", noAbandon: "look without abandoning",
		noEpoch: "no epoch",
	}
	for disabled := none + 1; disabled < mutations; disabled++ {
		t.Run(names[disabled], func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				rng := rand.New(rand.NewPCG(seed, 1))
				w := runInterleaving(func(_ string, n int) int { return rng.IntN(n) }, disabled, newSidecarModel)
				if w.violation != "" {
					t.Logf("interleaving %d: %s", seed, w.violation)
					return
				}
			}
			t.Fatal("the checker found no violation")
		})
	}
}
