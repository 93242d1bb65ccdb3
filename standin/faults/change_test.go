package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/caller"
)

// TestLastFollowsIgnoresEarlierResponses checks that a response to a request from before
// the given time does not count.
func TestLastFollowsIgnoresEarlierResponses(t *testing.T) {
	moment := time.Unix(100, 0)
	answered := func(after time.Duration, revision int) Exchange {
		return Exchange{Revision: revision, Result: caller.Result{Began: moment.Add(after)}}
	}
	enough := lastFollows(configSecond, moment)
	earlier := answered(-time.Second, configSecond)
	assert.Assert(t, !enough(nil))
	assert.Assert(t, !enough([]Exchange{earlier}))
	assert.Assert(t, !enough([]Exchange{earlier, answered(time.Second, configFirst)}))
	assert.Assert(t, enough([]Exchange{earlier, answered(time.Second, configSecond)}))
}
