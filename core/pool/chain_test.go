package pool

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chainStage is one stage of a chain: the settings of its pool and the items per task.
type chainStage struct {
	upstreams int
	batch     int
	itemMS    float64
	items     int
}

// enlargedChain holds the stages of a letter or chat request in the Institute's enlarged
// deployment: pools of 20, 15 and 15 upstreams, the last with a capacity of 186 tasks a second.
var enlargedChain = []chainStage{
	{upstreams: 20, batch: 8, itemMS: 21, items: 1},
	{upstreams: 15, batch: 32, itemMS: 5.4, items: 6},
	{upstreams: 15, batch: 46, itemMS: 3.7, items: 10},
}

// chainRun simulates tasks that pass through the pools of a chain one after the other.
type chainRun struct {
	pools     []*Pool
	stages    []chainStage
	objective time.Duration
	events    chainEvents
	now       time.Time
	remaining map[*Task]int
	startedAt map[*Task]time.Time
	order     int
	next      Ticket
	timely    int
}

// chainEvent is a function to run at a time; order breaks ties.
type chainEvent struct {
	at    time.Time
	order int
	run   func()
}

// chainEvents is a heap of events, earliest first.
type chainEvents []chainEvent

func (e chainEvents) Len() int { return len(e) }
func (e chainEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e chainEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *chainEvents) Push(x any)   { *e = append(*e, x.(chainEvent)) }
func (e *chainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newChainRun returns a run over empty pools.
func newChainRun(stages []chainStage, objective time.Duration) *chainRun {
	run := &chainRun{stages: stages, objective: objective, now: start, remaining: make(map[*Task]int), startedAt: make(map[*Task]time.Time)}
	for _, s := range stages {
		p := New(stageSettings(s.batch, s.itemMS, 1000))
		p.SetUpstreams(upstreams(s.upstreams))
		run.pools = append(run.pools, p)
	}
	return run
}

// schedule runs a function at the given time.
func (c *chainRun) schedule(when time.Time, run func()) {
	c.order++
	heap.Push(&c.events, chainEvent{at: when, order: c.order, run: run})
}

// add queues a task of a request that started at the given time in the pool of a stage.
func (c *chainRun) add(stage int, started time.Time) {
	due := started.Add(c.objective)
	for later := stage + 1; later < len(c.pools); later++ {
		due = due.Add(-c.pools[later].Wait(0, 0))
	}
	c.next++
	t := &Task{Ticket: c.next, Due: due, Deadline: started.Add(4 * c.objective)}
	c.remaining[t], c.startedAt[t] = c.stages[stage].items, started
	c.pools[stage].Add(t, c.stages[stage].items)
	c.dispatch(stage)
}

// dispatch sends the calls that the pool of a stage can send now.
func (c *chainRun) dispatch(stage int) {
	p := c.pools[stage]
	for call := p.Next(c.now); call != nil; call = p.Next(c.now) {
		c.schedule(c.now.Add(p.callTime(len(call.Items))), func() { c.end(stage, call) })
	}
}

// end handles the end of a call.
func (c *chainRun) end(stage int, call *Call) {
	p := c.pools[stage]
	p.Finish(call, sameOutcomes(call, Done), c.now)
	p.Succeed(call, c.now)
	for _, item := range call.Items {
		c.remaining[item.Task]--
		if c.remaining[item.Task] > 0 {
			continue
		}
		started := c.startedAt[item.Task]
		switch {
		case stage+1 < len(c.pools):
			c.add(stage+1, started)
		case c.now.Sub(started) <= c.objective:
			c.timely++
		}
	}
	c.dispatch(stage)
}

// play offers tasks at a rate for a time and returns the number of tasks offered per second
// and the number of those done within the objective.
func (c *chainRun) play(rate float64, length time.Duration) (offered, timely float64) {
	random := rand.New(rand.NewPCG(3, 4))
	tasks := 0
	gap := float64(time.Second) / rate
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(random.ExpFloat64() * gap)) {
		tasks++
		c.schedule(at, func() { c.add(0, c.now) })
	}
	c.drain()
	return float64(tasks) / length.Seconds(), float64(c.timely) / length.Seconds()
}

// drain runs the scheduled functions until none is left.
func (c *chainRun) drain() {
	for len(c.events) > 0 {
		event := heap.Pop(&c.events).(chainEvent)
		c.now = event.at
		event.run()
	}
}

// TestBurstOnAChainLeavesMostOfItsCapacityInTime replays a burst of 282 tasks a second for
// seven seconds on a chain of pools with a capacity of 186.
func TestBurstOnAChainLeavesMostOfItsCapacityInTime(t *testing.T) {
	offered, timely := newChainRun(enlargedChain, 1600*time.Millisecond).play(282, 7*time.Second)
	t.Logf("%.0f tasks a second offered, %.0f in time", offered, timely)
	assert.Assert(t, timely > 130, "%.0f tasks a second in time", timely)
}
