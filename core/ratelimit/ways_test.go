package ratelimit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOneCoordinatorWithVotesIsBetterThanTheOtherWays compares ways to share a limit, with requests that come
// unevenly: what is used while nothing happens, and what arrives at most in a window while gateways
// restart, freeze and disagree, as a share of what may arrive. Run with -v for the figures.
func TestOneCoordinatorWithVotesIsBetterThanTheOtherWays(t *testing.T) {
	compared := []course{{5, 1, 40}, {5, 8, 60}, {12, 1, 60}, {12, 8, 60}, {100, 8, 100}}
	figures := make(map[string][2]float64)
	for _, way := range []struct {
		name string
		part parts
	}{{"a bucket of each gateway", parts{ownBuckets: true}}, {"an even split", parts{evenSplit: true}}, {"a coordinator without votes", parts{noVotes: true}}, {"a coordinator with votes", parts{}}} {
		leastUsed, most := 9.0, 0.0
		for _, c := range compared {
			calm := c.play(1, nil, way.part)
			used := float64(calm.all) / (c.limit * calm.now.Seconds())
			worst := 0.0
			for seed := range uint64(seedsPerCourse) {
				w := c.play(seed, allDisruptions, way.part)
				worst = max(worst, float64(w.mostInWindow())/float64(w.bound()))
			}
			t.Logf("%-28s %3d gateways, limit %3v: %.2f used in calm, at most %.2f of the bound", way.name, c.gateways, c.limit, used, worst)
			leastUsed, most = min(leastUsed, used), max(most, worst)
		}
		figures[way.name] = [2]float64{leastUsed, most}
	}
	votes := figures["a coordinator with votes"]
	assert.Check(t, votes[0] >= 0.9 && votes[1] <= 1, "%v", votes)
	assert.Check(t, figures["a bucket of each gateway"][1] > 1)
	assert.Check(t, figures["an even split"][0] < 0.9)
	assert.Check(t, figures["a coordinator without votes"][1] > 1)
}
