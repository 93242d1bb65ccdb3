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

// Bounds of one interleaving and of the searches.
const (
	stepsPerWorld  = 90
	asksPerWorld   = 5
	calmSteps      = 2000
	interleavings  = 10000
	mutationSearch = 200000
)

// play runs one interleaving with faults, then one without until all is quiet,
// and returns what was violated.
func play(pick chooser, broken mutation, newSide func(core.Incarnation) sideProcess) *world {
	w := newWorld(pick, broken, newSide)
	actors := []*actor{newActor(w)}
	for range stepsPerWorld {
		if w.problem != "" {
			return w
		}
		actors = turn(w, actors)
	}
	settle(w, actors)
	return w
}

// turn lets one thing happen.
func turn(w *world, actors []*actor) []*actor {
	switch n := w.pick("turn", 24); {
	case n == 0 && len(w.late) > 0:
		w.deliver(w.pick("late", len(w.late)))
	case n == 1 && w.started < asksPerWorld:
		actors = append(actors, newActor(w))
	case n == 2:
		ticks := uint64(w.pick("ticks", ticketLifetime)) + 1
		for _, s := range w.sides {
			s.tick(ticks)
		}
	case n == 3:
		w.finishRuns(w.sides[w.pick("side", 2)])
	case n == 4:
		w.sides[w.pick("side", 2)].evict(w)
	case n == 5 && w.pick("restart", 4) == 0:
		w.restart(w.pick("side", 2))
	case n == 6:
		w.down = w.pick("down", 3) == 0
	case n == 7 && w.pick("crash", 4) == 0:
		actors[w.pick("actor", len(actors))].over = true
		w.lossy = true
	default:
		// The others are as if paused.
		if a := actors[w.pick("actor", len(actors))]; !a.over {
			a.step()
		}
	}
	return actors
}

// settle ends the faults, delivers what was held back, and checks that every ask
// comes to an end and that a new one is told something better than unknown,
// unless a side forgot or an entry died.
func settle(w *world, actors []*actor) {
	w.calm, w.down = true, false
	for len(w.late) > 0 {
		w.deliver(0)
	}
	for range 2 {
		actors = append(actors, newActor(w))
	}
	for range calmSteps {
		busy := false
		for _, a := range actors {
			if !a.over {
				busy = true
				a.step()
			}
		}
		for _, s := range w.sides {
			w.finishRuns(s)
		}
		if !busy || w.problem != "" {
			break
		}
	}
	for _, a := range actors {
		if !a.over {
			w.fail("%s of %s never ended", a.ask.Request, a.ask.Key)
		}
	}
	last := actors[len(actors)-1]
	if !w.lossy && last.status == claim.Unknown {
		w.fail("%s of %s was told unknown though all sides remember", last.ask.Request, last.ask.Key)
	}
}

// TestAtMostOnce plays interleavings of entries, store and sides, once with a
// model of the sides and once with the real gate. It checks in each that no key
// runs twice, that whoever was told not_run never ran, before or after, that
// results go to their own key, and that all ends when faults stop.
func TestAtMostOnce(t *testing.T) {
	t.Run("model", func(t *testing.T) { checkCoverage(t, playMany(t, newModel)) })
	t.Run("gate", func(t *testing.T) { playMany(t, newGateSide) })
}

// playMany plays the interleavings and returns the transitions that were taken.
func playMany(t *testing.T, newSide func(core.Incarnation) sideProcess) map[string]bool {
	t.Helper()
	taken := make(map[string]bool)
	ran, played := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, none, newSide)
		if w.problem != "" {
			t.Fatal(w.problem)
		}
		played++
		ran += len(w.ledger)
		for transition := range w.taken {
			taken[transition] = true
		}
	})
	t.Logf("%d interleavings, %d keys ran", played, ran)
	assert.Assert(t, played >= interleavings)
	assert.Assert(t, ran > interleavings/2, "too few worlds run anything")
	return taken
}

// elsewhere are transitions that other tests take: they need a deleted or a
// foreign object, which no interleaving here has.
var elsewhere = map[string]bool{"reading mismatch": true, "reading expired": true}

// checkCoverage fails if an interleaving took no transition of the claim chart.
func checkCoverage(t *testing.T, taken map[string]bool) {
	t.Helper()
	for _, transition := range chart.MustLoad("claim").Transitions {
		name := string(transition.From) + " " + string(transition.Event)
		assert.Assert(t, taken[name] || elsewhere[name], "no interleaving took %q", name)
	}
}

// TestCheckerSeesEachMutation disables one mechanism at a time and expects the
// same checker to find a violation.
func TestCheckerSeesEachMutation(t *testing.T) {
	names := map[mutation]string{
		noTombstone: "no tombstone", noRunIncarnation: "no incarnation check at run",
		noResolveIncarnation: "no incarnation check at resolve", noTicket: "no ticket check",
		noHorizon: "no horizon", noReadBack: "no nonce read-back", noCondition: "no condition on updates",
		noIdentity: "no identity check", noMintedRule: "not_run told of a caller's key", noAbandon: "look without abandoning",
		noEpoch: "no epoch",
	}
	for broken := none + 1; broken < mutations; broken++ {
		t.Run(names[broken], func(t *testing.T) {
			for seed := range uint64(mutationSearch) {
				rng := rand.New(rand.NewPCG(seed, 1))
				w := play(func(_ string, n int) int { return rng.IntN(n) }, broken, newModel)
				if w.problem != "" {
					t.Logf("interleaving %d: %s", seed, w.problem)
					return
				}
			}
			t.Fatal("the checker found nothing")
		})
	}
}
