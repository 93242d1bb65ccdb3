package selection

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

var now = time.Unix(1000, 0)

// engines returns n upstreams with 64 slots.
func engines(n int) []routes.Upstream {
	list := make([]routes.Upstream, n)
	for i := range list {
		list[i] = routes.Upstream{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 64}
	}
	return list
}

func TestRequestsOfOnePrefixGoToOneEngineInAllProcesses(t *testing.T) {
	list := engines(9)
	first, found := New().Choose(list, "part", nil, now)
	assert.Assert(t, found)
	second, _ := New().Choose(list, "part", nil, now)
	assert.Equal(t, first.Upstream.ID, second.Upstream.ID)
	assert.Equal(t, first.Reason, "prefix")
}

func TestPrefixesAreSpreadOverTheEngines(t *testing.T) {
	c, counts := New(), map[string]int{}
	for i := range 900 {
		choice, _ := c.Choose(engines(9), fmt.Sprintf("part %d", i), nil, now)
		counts[choice.Upstream.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, count > 60 && count < 140, "%s got %d of 900", id, count)
	}
}

// TestHotPrefixIsSpreadByLoad replays a load of a single prefix: no engine gets more than the
// bound over the mean.
func TestHotPrefixIsSpreadByLoad(t *testing.T) {
	c, counts := New(), map[string]int{}
	for range 180 {
		choice, _ := c.Choose(engines(9), "hot", nil, now)
		c.Started(choice.Upstream.ID)
		counts[choice.Upstream.ID]++
	}
	for id, count := range counts {
		assert.Assert(t, float64(count) <= loadBoundFactor*180/9+loadSlack+1, "%s has %d of 180", id, count)
	}
}

func TestFailedLeavingAndTriedEnginesAreAvoided(t *testing.T) {
	c, list := New(), engines(3)
	first, _ := c.Choose(list, "p", nil, now)
	c.Failed(first.Upstream.ID, now)
	second, _ := c.Choose(list, "p", nil, now)
	assert.Assert(t, second.Upstream.ID != first.Upstream.ID)
	third, found := c.Choose(list, "p", []string{second.Upstream.ID}, now)
	assert.Assert(t, found && third.Upstream.ID != second.Upstream.ID && third.Upstream.ID != first.Upstream.ID)
	back, _ := c.Choose(list, "p", nil, now.Add(avoidTime))
	assert.Equal(t, back.Upstream.ID, first.Upstream.ID)

	for i := range list {
		list[i].Leaving = true
	}
	_, found = c.Choose(list, "p", nil, now)
	assert.Assert(t, !found)
}

func TestFailedEngineIsUsedIfThereIsNoOther(t *testing.T) {
	c, list := New(), engines(1)
	c.Failed("e0", now)
	_, found := c.Choose(list, "p", nil, now)
	assert.Assert(t, found)
}

func TestLeastLoadedPrefersTheSmallestShareOfSlotsInUse(t *testing.T) {
	c := New()
	list := []routes.Upstream{{ID: "a", Slots: 2, Zone: "z"}, {ID: "b", Slots: 8, Zone: "y"}}
	c.RecordLoad("a", Load{Running: 1, Slots: 2, At: now})
	c.RecordLoad("b", Load{Running: 2, Slots: 8, At: now})
	choice, _ := c.LeastLoaded(list, "z", nil, now)
	assert.Equal(t, choice.Upstream.ID, "b")
	choice, _ = c.LeastLoaded(list, "z", nil, now.Add(loadTTL))
	assert.Equal(t, choice.Upstream.ID, "a", "stale reports don't count; the local zone goes first")
}

func TestStaleReportsAreReplacedByOwnRequestsInFlight(t *testing.T) {
	c, u := New(), engines(1)[0]
	c.Started("e0")
	c.RecordLoad("e0", Load{Running: 10, Waiting: 1, Slots: 64, At: now})
	c.Started("e0")
	assert.Equal(t, c.estimatedLoad(u, now), 13.0)
	assert.Equal(t, c.estimatedLoad(u, now.Add(loadTTL)), 2.0)
}

func TestRemovedEnginesKeepTheirRequestsInFlight(t *testing.T) {
	c := New()
	c.Started("e0")
	c.Failed("e1", now)
	c.Sync(routes.NewUpstreams(nil))
	assert.Equal(t, len(c.states), 1)
	c.Ended("e0")
	c.Sync(routes.NewUpstreams(nil))
	assert.Equal(t, len(c.states), 0)
}

// TestEngineWithoutAFreshReportIsIdleIfAllOthersAre covers large fleets, in which one process
// has no fresh report of most engines.
func TestEngineWithoutAFreshReportIsIdleIfAllOthersAre(t *testing.T) {
	list := engines(9)
	c := New()
	idle := func() bool {
		tried := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
		choice, _ := c.Choose(list, "part", tried, now)
		return choice.Idle
	}
	assert.Assert(t, !idle(), "there are no reports")
	for i := 1; i <= 4; i++ {
		c.RecordLoad(fmt.Sprintf("e%d", i), Load{Running: 3, Slots: 64, At: now})
	}
	assert.Assert(t, idle(), "four others are idle")
	c.RecordLoad("e5", Load{Running: 64, Waiting: 2, Slots: 64, At: now})
	assert.Assert(t, !idle(), "requests wait at one of the others")
}
