package selection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// TestChoiceIsTheFirstInKeyOrderWithinTheBound compares Choose with a sort of all engines over
// random loads, failures and tried engines: both must give the same engine, reason and copy
// source.
func TestChoiceIsTheFirstInKeyOrderWithinTheBound(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		c, list := New(), engines(2+random.IntN(20))
		var tried []string
		for i := range list {
			list[i].Address = "at " + list[i].ID
			list[i].Leaving = random.IntN(8) == 0
			for range random.IntN(30) {
				c.Started(list[i].ID)
			}
			switch random.IntN(8) {
			case 0:
				c.Failed(list[i].ID, now)
			case 1:
				tried = append(tried, list[i].ID)
			}
		}
		key := fmt.Sprint("part ", seed)
		if random.IntN(2) == 0 {
			c.SentPrefix(key, list[random.IntN(len(list))].ID, now)
		}
		want, wanted := chooseBySorting(c, list, key, tried)
		got, found := c.Choose(list, key, tried, now)
		assert.Equal(t, found, wanted, "seed %d", seed)
		assert.DeepEqual(t, got, want)
	}
}

// chooseBySorting chooses by sorting all engines that may get the request.
func chooseBySorting(c *Chooser, list []routes.Upstream, key string, tried []string) (Choice, bool) {
	ordered := slices.Clone(c.candidates(list, tried, now))
	if len(ordered) == 0 {
		return Choice{}, false
	}
	score := func(u routes.Upstream) uint64 { return rendezvous.Score(rendezvous.Hash(key), rendezvous.Hash(u.ID)) }
	slices.SortFunc(ordered, func(a, b routes.Upstream) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	var total float64
	for _, u := range ordered {
		total += c.estimatedLoad(u, now)
	}
	bound := loadBoundFactor*total/float64(len(ordered)) + loadSlack
	chosen := slices.IndexFunc(ordered, func(u routes.Upstream) bool { return c.estimatedLoad(u, now) <= bound })
	choice := Choice{Upstream: ordered[max(0, chosen)], Reason: "load"}
	switch chosen {
	case -1:
		choice.Reason = "only"
	case 0:
		choice.Reason = "prefix"
	}
	choice.Load = c.estimatedLoad(choice.Upstream, now)
	choice.Idle = chosen >= 0 && c.idle(choice.Upstream, list, now)
	choice.CopyFrom = copySourceBySorting(c, ordered, key, choice.Upstream)
	return choice, true
}

// copySourceBySorting returns the engine from which the chosen one copies a prefix: the one to
// which it was last sent, or the first other in the order.
func copySourceBySorting(c *Chooser, ordered []routes.Upstream, key string, chosen routes.Upstream) string {
	sent, known := c.prefixes[key]
	if known && sent.engine == chosen.ID {
		return ""
	}
	for _, u := range ordered {
		if known && u.ID == sent.engine {
			return u.Address
		}
	}
	for _, u := range ordered {
		if u.ID != chosen.ID {
			return u.Address
		}
	}
	return ""
}
