package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// TestSilencesComeAfterTheStepsOfOlderSeeds guards against a regression seed that draws other steps than those it
// failed with, and against a failure that its seed does not repeat.
func TestSilencesComeAfterTheStepsOfOlderSeeds(t *testing.T) {
	for _, regression := range Regressions {
		o := Options{Seed: regression.Seed, Steps: regressionSteps, Returns: 1, Disorders: 4, Limits: 3, Versions: 2}
		before := planRun(o)
		o.Silences = 3
		assert.DeepEqual(t, planRun(o), append(before, planSilences(o.Seed, 3)...))
		assert.Assert(t, regression.Silences == 0 && regression.Uneven == 0, "seed %d", regression.Seed)
	}
	assert.Assert(t, prepareUneven(1, 0, time.Now()) == nil)
}

// TestASeedGivesTheSamePaces guards against runs whose slow engines differ although the seed is the same.
func TestASeedGivesTheSamePaces(t *testing.T) {
	began := time.Unix(1000, 0)
	for seed := range uint64(20) {
		slow := 0
		for number := range 6 {
			first, again := &worker.Worker{ID: "e"}, &worker.Worker{ID: "e"}
			prepareUneven(seed, 3, began)(number, first)
			prepareUneven(seed, 3, began)(number, again)
			assert.DeepEqual(t, *first.Machine, *again.Machine)
			assert.Equal(t, first.EventTime, again.EventTime)
			if first.EventTime == slowEventTime {
				slow++
			}
		}
		assert.Equal(t, slow, 2)
	}
}
