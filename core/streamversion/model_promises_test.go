package streamversion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// order reports whether more streams hold events of two versions than allowed.
func (w *world) order() bool { return w.mixedStreams > 2 }

// lost reports whether too few of the streams that were taken up went on.
func (w *world) lost() bool {
	return w.takenUp >= 12 && float64(w.went)/float64(w.takenUp) < 0.5*float64(w.begun)/float64(w.offered)
}

// calmStep is the step of a calm; the age of the store's last word stays below MaxStateAge.
const calmStep = 5 * time.Second

// modelSeeds is the number of courses of each size of fleet.
const modelSeeds = 10

// TestStreamsKeepTheirVersionAndGoOn plays drawn courses of restarts, kills, freezes, cuts and rollouts.
func TestStreamsKeepTheirVersionAndGoOn(t *testing.T) {
	for _, gateways := range []int{5, 12, 100} {
		worst := 1.0
		total := 0
		for seed := range uint64(modelSeeds) {
			w := newWorld(seed, gateways, nothing)
			w.play()
			assert.Check(t, w.takenUp >= 100, "seed %d: %d streams were taken up", seed, w.takenUp)
			assert.Check(t, w.mixedStreams == 0, "%d gateways, seed %d: %d streams of two versions", gateways, seed, w.mixedStreams)
			assert.Check(t, !w.lost(), "%d gateways, seed %d: %d of %d streams went on, %d of %d began", gateways, seed, w.went, w.takenUp, w.begun, w.offered)
			worst = min(worst, float64(w.went)/float64(w.takenUp))
			total += w.takenUp
		}
		t.Logf("%d gateways: %d streams taken up, at least %.2f of a course went on", gateways, total, worst)
	}
}

// TestDirectedCoursesKeepTheirPromises plays the courses that find a part which drawn ones rarely need.
func TestDirectedCoursesKeepTheirPromises(t *testing.T) {
	for name, course := range map[string]func(*world){"restart all": restartAll, "lose three": loseThreeOfFive, "lose while one serves": loseWhileOneServes, "change then lose": changeThenLose} {
		w := directed(nothing)
		course(w)
		t.Logf("%s: %d of %d went on", name, w.went, w.takenUp)
		assert.Check(t, w.takenUp >= 12 && !w.order() && !w.lost(), "%s: %d of two versions, %d of %d went on", name, w.mixedStreams, w.went, w.takenUp)
	}
}

// TestStreamsGoOnAfterTheLossOfAllGatewaysButOne: the loss of any number of gateways is to be borne.
func TestStreamsGoOnAfterTheLossOfAllGatewaysButOne(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		w := newWorld(seed, 5, nothing)
		w.now += inTouchAfter
		w.learnAll()
		loseFourOfFive(w)
		assert.Check(t, !w.order() && !w.lost(), "seed %d: %d of two versions, %d of %d went on", seed, w.mixedStreams, w.went, w.takenUp)
	}
}

// TestAVersionThatComesBackIsNotUsedBeforeItsRegisterSays: the gateway that lists it first must not trust what it
// knew of the register when that version was last listed.
func TestAVersionThatComesBackIsNotUsedBeforeItsRegisterSays(t *testing.T) {
	w := directed(nothing)
	versionReturns(w)
	assert.Equal(t, w.mixedStreams, 0)
}

// TestTheModelFindsEachPartThatIsLeftOut: without one part, some course breaks a promise.
func TestTheModelFindsEachPartThatIsLeftOut(t *testing.T) {
	drawn := func(w *world) { w.play() }
	for _, c := range []struct {
		without part
		course  func(*world)
		breaks  func(*world) bool
	}{
		{marking, drawn, (*world).order},
		{readAfterReturn, staleReader, (*world).order},
		{refusingUnknown, drawn, (*world).order},
		{settlingLate, drawn, (*world).order},
		{freshness, drawn, (*world).order},
		{clearing, versionReturns, (*world).order},
		{copying, loseThreeOfFive, (*world).lost},
		{copyingOnChange, changeThenLose, (*world).lost},
		{copyingToHolders, restartAll, (*world).lost},
		{spreadingCopies, loseFourOfFive, (*world).lost},
		{inferring, loseWhileOneServes, (*world).lost},
	} {
		t.Run(string(c.without), func(t *testing.T) {
			found, worst, most := 0, 1.0, 0
			for seed := range uint64(modelSeeds) {
				w := newWorld(seed, 5, c.without)
				w.now += inTouchAfter
				w.learnAll()
				c.course(w)
				if c.breaks(w) {
					found++
				}
				worst = min(worst, float64(w.went)/float64(max(1, w.takenUp)))
				most = max(most, w.mixedStreams)
			}
			t.Logf("found in %d of %d courses; least share %.2f, most of two versions %d", found, modelSeeds, worst, most)
			assert.Check(t, found > 0)
		})
	}
}
