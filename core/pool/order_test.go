package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// taskWithValue returns a task with a value.
func taskWithValue(ticket Ticket, due time.Duration, value float64) *Task {
	created := task(ticket, due)
	created.Value = value
	return created
}

func TestTasksOfMoreValueGoFirstThenTheLatestDue(t *testing.T) {
	p := newPool(1)
	for _, queued := range []*Task{
		taskWithValue(1, 3*time.Second, 1), taskWithValue(2, time.Second, 10), taskWithValue(3, 2*time.Second, 8), taskWithValue(4, 2*time.Second, 2),
	} {
		p.Add(queued, 1)
	}
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{3, 2, 1, 4})
}

func TestTheRankGoesBeforeTheValue(t *testing.T) {
	p := newPool(1)
	valuable := taskWithValue(1, time.Second, 100)
	valuable.Rank = 1
	p.Add(valuable, 1)
	p.Add(taskWithValue(2, time.Second, 1), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 1})
}

func TestTasksAreOrderedByValuePerItem(t *testing.T) {
	p := newPool(1)
	p.Add(taskWithValue(1, time.Second, 9), 6)
	p.Add(taskWithValue(2, time.Second, 4), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 1, 1, 1, 1, 1, 1})
}

func TestWaitLeavesOutTasksOfMuchLessValue(t *testing.T) {
	p := newPool(0)
	p.SetUpstreams(upstreams(1))
	p.Next(start)
	for ticket := Ticket(1); ticket <= 9; ticket++ {
		p.Add(taskWithValue(ticket, 10*time.Second, 1), settings.Batch)
	}
	assert.Equal(t, p.Wait(0, 3), p.waitBehind(0))
	assert.Equal(t, p.Wait(0, 2), p.waitBehind(9*settings.Batch), "twice the value is in the same class")
}

// valueInTime replays a load on one pool and returns the share of the offered value that is
// done in time. Half of the tasks have the value higher, the others 1; the pool is given these
// values if known is set.
func valueInTime(load deploymentPool, rate float64, higher float64, known bool) float64 {
	sim := &simulation{load: load, pool: New(load.pool), random: rand.New(rand.NewPCG(1, 2)), now: start, limit: 1100 * time.Millisecond}
	sim.pool.SetUpstreams(upstreams(load.upstreams))
	values := make(map[Ticket]float64)
	sim.valueOf = func(ticket Ticket) float64 {
		values[ticket] = 1
		if ticket%2 == 0 {
			values[ticket] = higher
		}
		if !known {
			return 0
		}
		return values[ticket]
	}
	sim.done = func(ticket Ticket) { values[ticket] = -values[ticket] }
	gap := float64(load.itemsPerTask) / (load.itemsPerSecond * rate) * float64(time.Second)
	for arrival := start; arrival.Before(start.Add(20 * time.Second)); arrival = arrival.Add(time.Duration(sim.random.ExpFloat64() * gap)) {
		sim.advance(arrival)
		sim.arrive()
	}
	sim.advance(start.Add(40 * time.Second))
	var offered, inTime float64
	for _, value := range values {
		if value < 0 {
			inTime -= value
			value = -value
		}
		offered += value
	}
	return inTime / offered
}

// TestOverloadedPoolServesTheMostValue replays 3 times the standard rate of each pool with
// two kinds of task, of which one has 2.6 times the value of the other.
func TestOverloadedPoolServesTheMostValue(t *testing.T) {
	for _, load := range standardRates {
		unknown, known := valueInTime(load, 3, 2.6, false), valueInTime(load, 3, 2.6, true)
		t.Logf("%s: %.3f of the value in time if values are unknown, %.3f if known", load.name, unknown, known)
		assert.Assert(t, known > unknown+0.1, "%s: %.3f against %.3f", load.name, known, unknown)
	}
}
