package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// valued returns a task with a value.
func valued(ticket Ticket, due time.Duration, value float64) *Task {
	one := task(ticket, due)
	one.Value = value
	return one
}

func TestTasksOfMoreValueGoFirstAndTheNewestOfAClass(t *testing.T) {
	p := newPool(1)
	for _, one := range []*Task{
		valued(1, 3*time.Second, 1), valued(2, time.Second, 10), valued(3, 2*time.Second, 8), valued(4, 2*time.Second, 2),
	} {
		p.Add(one, 1)
	}
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{3, 2, 1, 4})
}

func TestTheRankGoesBeforeTheValue(t *testing.T) {
	p := newPool(1)
	rich := valued(1, time.Second, 100)
	rich.Rank = 1
	p.Add(rich, 1)
	p.Add(valued(2, time.Second, 1), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 1})
}

func TestTheValueIsThatOfAnItem(t *testing.T) {
	p := newPool(1)
	p.Add(valued(1, time.Second, 9), 6)
	p.Add(valued(2, time.Second, 4), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 1, 1, 1, 1, 1, 1})
}

func TestTasksOfMuchLessValueAreNoWait(t *testing.T) {
	p := newPool(0)
	p.SetUpstreams(upstreams(1))
	p.Next(start)
	for ticket := Ticket(1); ticket <= 9; ticket++ {
		p.Add(valued(ticket, 10*time.Second, 1), settings.Batch)
	}
	assert.Equal(t, p.Wait(0, 3), p.after(0))
	assert.Equal(t, p.Wait(0, 2), p.after(9*settings.Batch), "twice as much is of the same class")
}

// earned replays a load on one pool and returns the share of the value offered that is in
// time. Of the tasks half have more value; they are told apart if known is set.
func earned(site sitePool, rate float64, more float64, known bool) float64 {
	sim := &simulation{site: site, pool: New(site.pool), random: rand.New(rand.NewPCG(1, 2)), now: start, limit: 1100 * time.Millisecond}
	sim.pool.SetUpstreams(upstreams(site.workers))
	worth := make(map[Ticket]float64)
	sim.valued = func(ticket Ticket) float64 {
		worth[ticket] = 1
		if ticket%2 == 0 {
			worth[ticket] = more
		}
		if !known {
			return 0
		}
		return worth[ticket]
	}
	sim.done = func(ticket Ticket) { worth[ticket] = -worth[ticket] }
	gap := float64(site.itemsPerTask) / (site.itemsPerSecond * rate) * float64(time.Second)
	for arrival := start; arrival.Before(start.Add(20 * time.Second)); arrival = arrival.Add(time.Duration(sim.random.ExpFloat64() * gap)) {
		sim.advance(arrival)
		sim.arrive()
	}
	sim.advance(start.Add(40 * time.Second))
	var offered, inTime float64
	for _, w := range worth {
		if w < 0 {
			inTime -= w
			w = -w
		}
		offered += w
	}
	return inTime / offered
}

// TestAnOverfullPoolMakesWhatCountsForMost replays 3 times the standard rate of each
// pool with two kinds of task of which one counts for 2.6 times as much.
func TestAnOverfullPoolMakesWhatCountsForMost(t *testing.T) {
	for _, site := range standardRates {
		alike, known := earned(site, 3, 2.6, false), earned(site, 3, 2.6, true)
		t.Logf("%s: %.3f of the value in time if all count alike, %.3f if not", site.name, alike, known)
		assert.Assert(t, known > alike+0.1, "%s: %.3f against %.3f", site.name, known, alike)
	}
}
