package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// course is a fleet that the model plays.
type course struct {
	gateways  int
	limit     float64
	perSecond float64
}

var courses = []course{{5, 1, 40}, {5, 0.4, 40}, {5, 8, 60}, {12, 1, 60}, {12, 20, 80}, {100, 8, 60}, {100, 40, 160}}

// play plays a course of a seed.
func (c course) play(seed uint64, kinds []disruption, without parts) *world {
	w := newWorld(seed, c.gateways, c.limit, without)
	w.run(20*time.Second, c.perSecond, kinds)
	return w
}

// disruptEvery is the mean time between two disruptions.
const disruptEvery = 700 * time.Millisecond

// seedsPerCourse is the number of seeds with which each course is played.
const seedsPerCourse = 4

func TestALimitHoldsWhileGatewaysRestartFreezeAndDisagree(t *testing.T) {
	for _, c := range courses {
		worst := 0
		for seed := range uint64(seedsPerCourse) {
			for _, kinds := range [][]disruption{allDisruptions, {swappingLists}, {laggingCoordinator}, {lostCandidates}} {
				w := c.play(seed, kinds, parts{})
				worst = max(worst, w.mostInWindow())
				assert.Check(t, w.mostInWindow() <= w.bound(), "%+v, seed %d: %d sends within %v, %d are allowed", c, seed, w.mostInWindow(), window, w.bound())
			}
		}
		t.Logf("%+v: at most %d of %d", c, worst, newWorld(0, 1, c.limit, parts{}).bound())
	}
}

func TestACalmFleetUsesNineTenthsOfALimit(t *testing.T) {
	for _, c := range courses {
		if c.limit < 1 {
			continue // a window holds too few sends
		}
		w := c.play(1, nil, parts{})
		used := float64(w.all) / (c.limit * w.now.Seconds())
		assert.Check(t, used > 0.9 && used <= 1.05, "%+v: %.2f of the limit was used", c, used)
		assert.Check(t, w.mostInWindow() <= w.bound())
	}
}

// TestTheModelFindsEachPartThatIsLeftOut shows that the model could fail.
func TestTheModelFindsEachPartThatIsLeftOut(t *testing.T) {
	for _, without := range []parts{{noVoter: true}, {noVotes: true}, {noExpiry: true}, {fullBucket: true}, {freeAlone: true}, {ownBuckets: true}, {lateAge: true}} {
		assert.Check(t, findsFault(without), "%+v", without)
	}
}

// findsFault reports whether a course breaks the promise without some parts.
func findsFault(without parts) bool {
	for seed := range uint64(4 * seedsPerCourse) {
		for _, c := range courses {
			for _, kinds := range [][]disruption{allDisruptions, {swappingLists}, {laggingCoordinator}, {lostCandidates}} {
				if w := c.play(seed, kinds, without); w.mostInWindow() > w.bound() {
					return true
				}
			}
		}
	}
	return false
}
