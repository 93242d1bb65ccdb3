package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/forecast"
)

// unevenChain holds the stages of a reply on the deployment with uneven demand, whose pools do 342, 256 and
// 210 tasks a second; competingChain those on the one with too little capacity, whose pools do 361, 269 and 261.
var (
	unevenChain    = []chainStage{{18, 14, 12, 2}, {15, 38, 4.5, 6}, {15, 52, 3.3, 10}}
	competingChain = []chainStage{{19, 14, 12, 2}, {15, 40, 4.3, 6}, {18, 54, 3.2, 10}}
)

// Times of a reply: its objective and deadline without the time of the engine.
const (
	replyObjective = 1450 * time.Millisecond
	replyDeadline  = 5750 * time.Millisecond
)

// lateRun simulates tasks that pass through a chain and are refused when they are late. Clients retry once, after
// a third of the time that they have left.
type lateRun struct {
	*chainRun
	// forecasts are those of the pools; nil if late work is off.
	forecasts []*forecast.Forecast
	retried   map[*Task]bool
	// made counts the items made, offered and served the requests.
	made, offered, served int
}

// newLateRun returns a run over empty pools.
func newLateRun(stages []chainStage, late bool) *lateRun {
	run := &lateRun{chainRun: newChainRun(stages, replyObjective), retried: make(map[*Task]bool)}
	for _, p := range run.pools {
		if late {
			run.forecasts = append(run.forecasts, forecast.New())
			p.KeepLate(run.forecasts[len(run.forecasts)-1])
		}
	}
	return run
}

// sumAfter returns the sum of the times of the stages after one.
func (c *lateRun) sumAfter(stage int, of func(p *Pool) time.Duration) (sum time.Duration) {
	for _, p := range c.pools[stage+1:] {
		sum += of(p)
	}
	return sum
}

// fullTime returns the duration of a full call.
func fullTime(p *Pool) time.Duration { return p.callTime(p.settings.Batch) }

// add queues the task of a stage of a request, or refuses it, as a gateway and an owner do.
func (c *lateRun) add(stage int, started time.Time, retried bool) {
	p, items := c.pools[stage], c.stages[stage].items
	wait := func(p *Pool) time.Duration { return p.Wait(0, 0) }
	tail := c.sumAfter(stage, wait)
	due := started.Add(replyObjective - tail)
	switch late := due.Sub(c.now) < wait(p); {
	case late && c.forecasts != nil:
		tail = LateChainTime(c.sumAfter(stage, fullTime))
	case late:
		tail = LateWaitFactor * c.sumAfter(stage, (*Pool).Backlog)
	}
	c.next++
	t := &Task{Ticket: c.next, Due: due, Deadline: started.Add(replyDeadline - tail)}
	for i, later := range c.pools[stage+1:] {
		t.Later = append(t.Later, string(rune('a'+stage+1+i)))
		p.ObserveLater(t.Later[i], later.Backlog(), fullTime(later), c.now)
	}
	c.remaining[t], c.startedAt[t], c.retried[t] = items, started, retried
	if c.forecasts != nil && !retried {
		c.forecasts[stage].Arrived(items, c.now)
	}
	if !p.CanFinish(t, c.now) {
		c.refuse(t)
		return
	}
	p.Add(t, items)
	c.dispatch(stage)
}

// refuse ends a task, and lets its client retry.
func (c *lateRun) refuse(t *Task) {
	if c.remaining[t] < 0 {
		return
	}
	c.remaining[t] = -1
	if !c.retried[t] {
		started := c.startedAt[t]
		c.schedule(c.now.Add(started.Add(replyDeadline).Sub(c.now)/3), func() { c.add(0, started, true) })
	}
}

// dispatch sends the calls that the pool of a stage can send now.
func (c *lateRun) dispatch(stage int) {
	p := c.pools[stage]
	for call := p.Next(c.now); call != nil; call = p.Next(c.now) {
		c.made += len(call.Items)
		c.schedule(c.now.Add(p.callTime(len(call.Items))), func() { c.end(stage, call) })
	}
}

// end handles the end of a call.
func (c *lateRun) end(stage int, call *Call) {
	c.pools[stage].Finish(call, sameOutcomes(call, Done), c.now)
	c.pools[stage].Succeed(call, c.now)
	if c.forecasts != nil {
		c.forecasts[stage].Completed(len(call.Items), c.now)
	}
	for _, item := range call.Items {
		if c.remaining[item.Task]--; c.remaining[item.Task] != 0 {
			continue
		}
		started := c.startedAt[item.Task]
		if stage+1 < len(c.pools) {
			c.add(stage+1, started, c.retried[item.Task])
			continue
		}
		c.served++
		if c.now.Sub(started) <= replyObjective {
			c.timely++
		}
	}
	c.dispatch(stage)
}

// expire drops the tasks that are refused, and sends calls.
func (c *lateRun) expire() {
	for stage, p := range c.pools {
		for _, item := range p.Expire(c.now) {
			c.refuse(item.Task)
		}
		c.dispatch(stage)
	}
}

// offer schedules requests at a rate for a time and returns its end.
func (c *lateRun) offer(random *rand.Rand, rate float64, from time.Time, length time.Duration) time.Time {
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		c.schedule(at, func() { c.offered++; c.add(0, c.now, false) })
	}
	return from.Add(length)
}

// burst is a load: a base rate, and another rate for a time, in requests a second.
type burst struct {
	base, rate float64
	length     time.Duration
}

// outcome sums up runs: vain is the number of items made that no served request needed.
type outcome struct{ offered, timely, served, vain int }

// replayBurst plays a burst with some seeds and returns the sum of the outcomes.
func replayBurst(stages []chainStage, b burst, late bool) (sum outcome) {
	for seed := range uint64(3) {
		run, random := newLateRun(stages, late), rand.New(rand.NewPCG(5, seed))
		at := run.offer(random, b.base, start, 40*time.Second)
		at = run.offer(random, b.rate, at, b.length)
		at = run.offer(random, b.base, at, 15*time.Second)
		for tick := start; tick.Before(at.Add(10 * time.Second)); tick = tick.Add(20 * time.Millisecond) {
			run.schedule(tick, run.expire)
		}
		run.drain()
		needed := 0
		for _, stage := range stages {
			needed += run.served * stage.items
		}
		sum = outcome{sum.offered + run.offered, sum.timely + run.timely, sum.served + run.served, sum.vain + run.made - needed}
	}
	return sum
}

// TestBurstOnAChainServesMoreAndWastesLess replays loads above the capacity of pools of a chain. It guards against
// dropping late requests that the capacity after a burst serves, against work at the first pools for
// requests that a later one can't serve, and against late work that displaces work in time.
func TestBurstOnAChainServesMoreAndWastesLess(t *testing.T) {
	for name, load := range map[string]struct {
		stages []chainStage
		burst
	}{
		"burst at the third pool":           {unevenChain, burst{base: 126, rate: 315, length: 6500 * time.Millisecond}},
		"burst over a high base load":       {unevenChain, burst{base: 160, rate: 294, length: 6 * time.Second}},
		"overload that lasts":               {unevenChain, burst{base: 126, rate: 294, length: 30 * time.Second}},
		"burst at the second and the third": {competingChain, burst{base: 150, rate: 330, length: 6 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			off, on := replayBurst(load.stages, load.burst, false), replayBurst(load.stages, load.burst, true)
			t.Logf("off %+v, on %+v", off, on)
			assert.Assert(t, on.served > off.served, "%d served, %d without late work", on.served, off.served)
			assert.Assert(t, on.vain < off.vain, "%d items in vain, %d without late work", on.vain, off.vain)
			assert.Assert(t, on.timely > off.timely*99/100, "%d in time, %d without late work", on.timely, off.timely)
		})
	}
}
