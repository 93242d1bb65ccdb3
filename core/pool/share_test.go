package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharedReplay offers a multiple of the standard rate for 20 s, of which the named workspaces have the
// given parts, and returns the tasks of each workspace that were done in time, and the number of calls.
func sharedReplay(load deploymentPool, rate float64, parts map[string]int, shared bool) (inTime map[string]int, calls int) {
	sim := &simulation{load: load, pool: New(load.pool), random: rand.New(rand.NewPCG(1, 2)), now: start, remaining: make(map[Ticket]int)}
	sim.pool.SetUpstreams(upstreams(load.upstreams))
	if shared {
		sim.pool.ShareBetweenWorkspaces()
	}
	var names []string
	for name, part := range parts {
		names = append(names, slices.Repeat([]string{name}, part)...)
	}
	slices.Sort(names)
	inTime = make(map[string]int)
	workspaces := make(map[Ticket]string)
	sim.done = func(ticket Ticket) { inTime[workspaces[ticket]]++ }
	gap := float64(load.itemsPerTask) / (load.itemsPerSecond * rate) * float64(time.Second)
	for arrival := start; arrival.Before(start.Add(20 * time.Second)); arrival = arrival.Add(time.Duration(sim.random.ExpFloat64() * gap)) {
		sim.advance(arrival)
		sim.tasks++
		ticket, workspace := Ticket(sim.tasks), names[sim.random.IntN(len(names))]
		workspaces[ticket] = workspace
		sim.remaining[ticket] = load.itemsPerTask
		sim.pool.Add(&Task{Ticket: ticket, Workspace: workspace, Due: arrival.Add(1100 * time.Millisecond), Deadline: arrival.Add(11 * time.Second), Bytes: load.resultBytes}, load.itemsPerTask)
		sim.dispatch()
	}
	sim.advance(start.Add(40 * time.Second))
	return inTime, sim.calls
}

// TestOneLargeWorkspaceLeavesTheOthersTheirShares replays 3.5 times the standard rate of each pool, of
// which one workspace has ten times the traffic of nine others. Without shares the others are served as
// badly as the one that causes the burst.
func TestOneLargeWorkspaceLeavesTheOthersTheirShares(t *testing.T) {
	parts := map[string]int{"large": 10, "a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1, "g": 1, "h": 1, "i": 1}
	for _, load := range standardRates {
		inTimeOf := func(shared bool) (large, all int) {
			inTime, _ := sharedReplay(load, 3.5, parts, shared)
			for name := range parts {
				all += inTime[name]
			}
			return inTime["large"], all
		}
		largeBefore, allBefore := inTimeOf(false)
		large, all := inTimeOf(true)
		t.Logf("%s: %d of %d tasks in time are those of the large workspace, %d of %d without shares", load.name, large, all, largeBefore, allBefore)
		assert.Assert(t, float64(largeBefore) > 0.45*float64(allBefore), load.name)
		assert.Assert(t, float64(large) < 0.25*float64(all), "%s: twice its equal share and one call's items", load.name)
		assert.Assert(t, float64(all) > 0.98*float64(allBefore), load.name)
	}
}

// TestSharesChangeNothingForOneWorkspaceOrWithoutALoad guards against an order that differs where no
// workspace takes another's share.
func TestSharesChangeNothingForOneWorkspaceOrWithoutALoad(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		parts map[string]int
	}{{3.5, map[string]int{"only": 1}}, {3.5, map[string]int{"": 1}}, {0.5, map[string]int{"large": 10, "a": 1, "b": 1}}} {
		before, callsBefore := sharedReplay(standardRates[0], c.rate, c.parts, false)
		after, calls := sharedReplay(standardRates[0], c.rate, c.parts, true)
		assert.DeepEqual(t, after, before)
		assert.Equal(t, calls, callsBefore)
	}
}

// TestRankAndClassGoBeforeShares guards against a large workspace that loses its rank to its share. A
// task passed over is reported once.
func TestRankAndClassGoBeforeShares(t *testing.T) {
	p := newPool(1)
	p.ShareBetweenWorkspaces()
	p.shares.Served("large", 50, start)
	for ticket := Ticket(1); ticket <= 5; ticket++ {
		queued := task(ticket, 5*time.Second)
		queued.Workspace = map[Ticket]string{1: "large", 2: "large", 3: "small", 4: "other", 5: "small"}[ticket]
		queued.Due = queued.Due.Add(-time.Duration(ticket) * time.Millisecond)
		if ticket != 1 {
			queued.Rank = 1
		}
		p.Add(queued, 2)
	}
	call := p.Next(start)
	assert.DeepEqual(t, tickets(call), []Ticket{1, 1, 3, 3, 4, 4, 5, 5})
	assert.DeepEqual(t, p.TakePassedOver(), []Ticket{2})
	p.sort(start)
	assert.Equal(t, len(p.TakePassedOver()), 0)
}
