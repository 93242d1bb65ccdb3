package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/pace"
	"acaciawinch/core/routes"
)

// pacedLimits are the limits of a request with 200 ms between events allowed, as seen after streams of engines of
// the given paces, on machines that are at times slower by a factor of 2.5.
func pacedLimits(list []routes.Upstream, gaps func(int) time.Duration) Limits {
	table := pace.NewTable("g")
	for round := range 10 {
		for i, u := range list {
			seen := pace.Observation{Tokens: 1000, FirstEvent: 5 * gaps(i), Pace: 100}
			if (round+i)%5 == 0 {
				seen.Pace, seen.FirstEvent = 250, 2*seen.FirstEvent
			}
			for range 16 {
				gap := gaps(i) * time.Duration(seen.Pace) / 100
				seen.Gaps = append(seen.Gaps, pace.Gap{Time: gap, Events: 1, Age: time.Millisecond})
			}
			table.Observe(PaceKey(u), seen, now)
		}
	}
	return Limits{Paces: table, Limits: pace.Limits{Pause: 200 * time.Millisecond, FirstEvent: 500 * time.Millisecond, Tokens: 1000}}
}

// slowThird returns the paces of engines of which every third takes four times as long.
func slowThird(i int) time.Duration {
	if i%3 == 0 {
		return 88 * time.Millisecond
	}
	return 22 * time.Millisecond
}

// TestSlowEnginesLoseTheirPrefixesAndOthersKeepTheirs guards against prefixes that are computed again without
// need: only those of the slow engines move, each to one engine.
func TestSlowEnginesLoseTheirPrefixesAndOthersKeepTheirs(t *testing.T) {
	list := engines(12)
	limits := pacedLimits(list, slowThird)
	moved := 0
	for i := range 600 {
		key := fmt.Sprint("part ", i)
		before, _ := New().Choose(list, key, nil, now)
		choice, _ := New().ChooseWithin(list, key, nil, limits, now)
		again, _ := New().ChooseWithin(list, key, nil, limits, now)
		assert.Equal(t, choice.Excluded, 4)
		assert.Equal(t, again.Upstream.ID, choice.Upstream.ID)
		if choice.Reason == "pace" {
			moved++
			continue
		}
		assert.Equal(t, choice.Upstream.ID, before.Upstream.ID)
	}
	assert.Assert(t, moved > 150 && moved < 250, "%d of 600 prefixes moved", moved)
}

// TestChoiceIsUnchangedWhereThePaceDoesNotMatter compares the choices with those without paces, over random loads
// and prefixes: with no observations, with engines that differ by 1.3, in a fleet that is slow as a whole, and for
// a request whose limits the slow engines meet.
func TestChoiceIsUnchangedWhereThePaceDoesNotMatter(t *testing.T) {
	list := engines(12)
	generous := pacedLimits(list, slowThird)
	generous.Pause, generous.FirstEvent = 800*time.Millisecond, 2*time.Second
	for name, limits := range map[string]Limits{
		"no observations": {Paces: pace.NewTable("g"), Limits: pace.Limits{Pause: time.Millisecond, FirstEvent: time.Millisecond}},
		"alike":           pacedLimits(list, func(i int) time.Duration { return time.Duration(22+i%2*7) * time.Millisecond }),
		"slow as a whole": pacedLimits(list, func(i int) time.Duration { return 4 * slowThird(i) }),
		"generous":        generous,
	} {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 9))
			c := New()
			for _, u := range list {
				for range random.IntN(30) {
					c.Started(u.ID)
				}
			}
			key := fmt.Sprint("part ", seed)
			want, _ := c.Choose(list, key, nil, now)
			got, _ := c.ChooseWithin(list, key, nil, limits, now)
			got.Expectation = Expectation{}
			assert.DeepEqual(t, got, want)
			assert.Assert(t, got.Reason != "pace", name)
		}
	}
}

// TestWorkDoesNotPileUpOnFewFastEngines replays a load that the two fast engines of nine can't carry. It guards
// against the exclusion of slow engines in favour of those that are over the load bound.
func TestWorkDoesNotPileUpOnFewFastEngines(t *testing.T) {
	list := engines(9)
	limits := pacedLimits(list, func(i int) time.Duration {
		if i < 3 {
			return 22 * time.Millisecond
		}
		return 88 * time.Millisecond
	})
	c, counts := New(), map[string]int{}
	for i := range 180 {
		choice, _ := c.ChooseWithin(list, fmt.Sprint("part ", i), nil, limits, now)
		c.Started(choice.Upstream.ID)
		counts[choice.Upstream.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, float64(count) <= loadBoundFactor*180/9+loadSlack+1, "%s has %d of 180", id, count)
	}
	assert.Assert(t, counts["e0"] > 20, "the fast engines are filled first: %v", counts)
}

// TestExcludedEngineIsTriedAgainByItsOwnPrefixes guards against an engine that is never measured again.
func TestExcludedEngineIsTriedAgainByItsOwnPrefixes(t *testing.T) {
	list := engines(12)
	limits := pacedLimits(list, slowThird)
	later := now.Add(9 * time.Second)
	trials := 0
	for i := range 200 {
		choice, _ := New().ChooseWithin(list, fmt.Sprint("part ", i), nil, limits, later)
		if choice.Trial {
			trials++
			limits.Paces.Tried(PaceKey(choice.Upstream), later)
		}
	}
	assert.Equal(t, trials, 4, "one for each excluded engine")
}

// TestSlowPlainUpstreamsGetASmallerShareOnlyWithFourthFigures guards against a change for services whose upstreams
// report three figures.
func TestSlowPlainUpstreamsGetASmallerShareOnlyWithFourthFigures(t *testing.T) {
	list := engines(4)
	for _, figure := range []int{0, 100} {
		limits := Limits{Paces: pace.NewTable("g")}
		for range 20 {
			for i, u := range list {
				took := time.Duration(50+150*(i/3)) * time.Millisecond
				limits.Paces.Observe(PaceKey(u), pace.Observation{FirstEvent: took, Pace: figure}, now)
			}
		}
		c, counts := New(), map[string]int{}
		for range 120 {
			choice, _ := c.LeastLoadedWithin(list, "", nil, limits, now)
			c.Started(choice.Upstream.ID)
			counts[choice.Upstream.ID]++
		}
		if figure == 0 {
			assert.Equal(t, counts["e3"], 30)
			continue
		}
		assert.Assert(t, counts["e3"] > 5 && counts["e3"] < 20, "%v", counts)
	}
}
