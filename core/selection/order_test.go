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

// TestTheChoiceIsTheFirstInTheOrderOfTheKeyWithinTheBound: the whole order, sorted, gives the
// same engine, reason and source of copies, over random loads, failures and tries.
func TestTheChoiceIsTheFirstInTheOrderOfTheKeyWithinTheBound(t *testing.T) {
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
			c.SentPart(key, list[random.IntN(len(list))].ID, now)
		}
		want, wanted := inOrder(c, list, key, tried)
		got, found := c.Choose(list, key, tried, now)
		assert.Equal(t, found, wanted, "seed %d", seed)
		assert.DeepEqual(t, got, want)
	}
}

// inOrder chooses by sorting all engines that may get the request.
func inOrder(c *Chooser, list []routes.Upstream, key string, tried []string) (Choice, bool) {
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
		total += c.estimate(u, now)
	}
	bound := boundedLoad*total/float64(len(ordered)) + loadSlack
	chosen := slices.IndexFunc(ordered, func(u routes.Upstream) bool { return c.estimate(u, now) <= bound })
	choice := Choice{Upstream: ordered[max(0, chosen)], Reason: "load"}
	switch chosen {
	case -1:
		choice.Reason = "only"
	case 0:
		choice.Reason = "prefix"
	}
	choice.Load = c.estimate(choice.Upstream, now)
	choice.Idle = chosen >= 0 && c.idle(choice.Upstream, list, now)
	choice.CopyFrom = copyInOrder(c, ordered, key, choice.Upstream)
	return choice, true
}

// copyInOrder returns from where the chosen engine copies: where the part last went, or the
// first other in the order.
func copyInOrder(c *Chooser, ordered []routes.Upstream, key string, chosen routes.Upstream) string {
	part, known := c.parts[key]
	if known && part.engine == chosen.ID {
		return ""
	}
	for _, u := range ordered {
		if known && u.ID == part.engine {
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
