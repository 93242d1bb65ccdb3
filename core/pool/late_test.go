package pool

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/forecast"
)

// lateStage is one stage of a chain: the settings of its pool, the items per task and their size.
type lateStage struct {
	chainStage
	roomMB float64
	bytes  int64
}

// unevenChain holds the stages of a reply on the deployment with uneven demand: the third pool does 210
// tasks a second, the second 256 and the first 342.
var unevenChain = []lateStage{
	{chainStage{upstreams: 18, batch: 14, itemMS: 12, items: 2}, 32, 8_000},
	{chainStage{upstreams: 15, batch: 38, itemMS: 4.5, items: 6}, 5, 60_000},
	{chainStage{upstreams: 15, batch: 52, itemMS: 3.3, items: 10}, 0.69, 6_000},
}

// competingChain holds the stages of a reply on the deployment with too little capacity: the second pool
// does 269 tasks a second, the third 261 and the first 361.
var competingChain = []lateStage{
	{chainStage{upstreams: 19, batch: 14, itemMS: 12, items: 2}, 32, 8_000},
	{chainStage{upstreams: 15, batch: 40, itemMS: 4.3, items: 6}, 5.2, 60_000},
	{chainStage{upstreams: 18, batch: 54, itemMS: 3.2, items: 10}, 0.72, 6_000},
}

// Times of a reply, of its gateway and of its upstreams.
const (
	replyObjective  = 1700 * time.Millisecond
	replyDeadline   = 6 * time.Second
	replyFirstEvent = 250 * time.Millisecond
	replyInputsRead = 40 * time.Millisecond
	replyResultRead = 300 * time.Millisecond
	expireInterval  = 20 * time.Millisecond
)

// reply is one request of a lateRun.
type reply struct {
	started time.Time
	retried bool
	// kept holds the items whose results are stored, and by the calls that made them.
	kept []*Item
	by   []*Call
}

// lateRun simulates requests that pass through the pools of a chain and are refused if they are
// late. Clients retry once, after a third of the time that they have left.
type lateRun struct {
	pools  []*Pool
	stages []lateStage
	// forecasts are those of the pools; nil if late work is off.
	forecasts []*forecast.Forecast
	events    chainEvents
	now       time.Time
	order     int
	next      Ticket
	of        map[*Task]*reply
	pending   map[*Task]int
	stage     map[*Task]int
	// timely and served count the requests done within the objective and the deadline.
	timely, served int
	// items counts the items made, by stage.
	items   []int
	offered int
	seed    uint64
}

// newLateRun returns a run over empty pools.
func newLateRun(stages []lateStage, late bool) *lateRun {
	run := &lateRun{stages: stages, now: start, of: make(map[*Task]*reply), pending: make(map[*Task]int), stage: make(map[*Task]int),
		items: make([]int, len(stages))}
	for _, s := range stages {
		p := New(stageSettings(s.batch, s.itemMS, s.roomMB))
		p.SetUpstreams(upstreams(s.upstreams))
		run.pools = append(run.pools, p)
		if late {
			f := forecast.New()
			f.Observe(start)
			p.KeepLate(f)
			run.forecasts = append(run.forecasts, f)
		}
	}
	return run
}

// at schedules a function.
func (c *lateRun) at(when time.Time, run func()) {
	c.order++
	heap.Push(&c.events, chainEvent{at: when, order: c.order, run: run})
}

// full returns the duration of a full call of a stage without slowdown.
func (c *lateRun) full(stage int) time.Duration {
	p := c.pools[stage]
	return p.callTime(p.settings.Batch)
}

// tail returns the time to be left for the stages after one.
func (c *lateRun) tail(stage int, of func(stage int) time.Duration) time.Duration {
	var sum time.Duration
	for later := stage + 1; later < len(c.pools); later++ {
		sum += of(later)
	}
	return sum
}

// lateTail returns the time to be left for the stages after a stage that is late.
func (c *lateRun) lateTail(stage int) time.Duration {
	if c.forecasts != nil {
		return LateChainTime(c.tail(stage, c.full))
	}
	return LateWaitFactor * c.tail(stage, func(later int) time.Duration { return c.pools[later].Backlog() })
}

// add queues the task of a stage of a request, or refuses it.
func (c *lateRun) add(stage int, r *reply) {
	p, s := c.pools[stage], c.stages[stage]
	wait := func(later int) time.Duration { return c.pools[later].Wait(0, 0) }
	tail := c.tail(stage, wait)
	due := r.started.Add(replyObjective - replyFirstEvent - tail)
	if due.Sub(c.now) < wait(stage) {
		tail = c.lateTail(stage)
	}
	c.next++
	t := &Task{Ticket: c.next, Due: due, Deadline: r.started.Add(replyDeadline - replyFirstEvent - tail), Bytes: s.bytes}
	for later := stage + 1; later < len(c.pools); later++ {
		t.Later = append(t.Later, string(rune('0'+later)))
		p.ObserveLater(t.Later[len(t.Later)-1], c.pools[later].Backlog(), c.full(later), c.now)
	}
	c.of[t], c.pending[t], c.stage[t] = r, s.items, stage
	if c.forecasts != nil && !r.retried {
		c.forecasts[stage].Arrived(s.items, c.now)
	}
	if !p.CanFinish(t, c.now) {
		c.refuse(t)
		return
	}
	p.Add(t, s.items)
	c.dispatch(stage)
}

// refuse ends a request whose task is refused, and lets its client retry.
func (c *lateRun) refuse(t *Task) {
	r := c.of[t]
	c.pending[t] = -1
	if r.retried {
		c.free(r)
		return
	}
	r.retried = true
	c.free(r)
	c.at(c.now.Add(r.started.Add(replyDeadline).Sub(c.now)/3), func() { c.add(0, r) })
}

// free frees the stored results of a request.
func (c *lateRun) free(r *reply) {
	for i, item := range r.kept {
		c.pools[c.stage[item.Task]].Free(r.by[i].Upstream, item.Task.Bytes)
	}
	r.kept, r.by = nil, nil
}

// dispatch sends the calls that the pool of a stage can send now.
func (c *lateRun) dispatch(stage int) {
	p := c.pools[stage]
	for call := p.Next(c.now); call != nil; call = p.Next(c.now) {
		c.items[stage] += len(call.Items)
		c.at(c.now.Add(replyInputsRead), func() { c.inputsRead(call) })
		c.at(c.now.Add(p.callTime(len(call.Items))), func() { c.end(stage, call) })
	}
}

// inputsRead frees the inputs of the tasks of which all items are in a call.
func (c *lateRun) inputsRead(call *Call) {
	for _, item := range call.Items {
		r := c.of[item.Task]
		if c.pools[c.stage[item.Task]].WaitingOf(item.Task.Ticket) == 0 && len(r.kept) > 0 && c.stage[r.kept[0].Task] < c.stage[item.Task] {
			c.free(r)
		}
	}
}

// end handles the end of a call.
func (c *lateRun) end(stage int, call *Call) {
	p := c.pools[stage]
	p.Finish(call, sameOutcomes(call, Done), c.now)
	p.Succeed(call, c.now)
	if c.forecasts != nil {
		c.forecasts[stage].Completed(len(call.Items), c.now)
	}
	for _, item := range call.Items {
		r := c.of[item.Task]
		if c.pending[item.Task] < 0 {
			p.Free(call.Upstream, item.Task.Bytes)
			continue
		}
		r.kept, r.by = append(r.kept, item), append(r.by, call)
		c.pending[item.Task]--
		if c.pending[item.Task] == 0 {
			c.finishStage(stage, r)
		}
	}
	c.dispatch(stage)
}

// finishStage starts the next stage of a request, or ends it.
func (c *lateRun) finishStage(stage int, r *reply) {
	if stage+1 < len(c.pools) {
		c.add(stage+1, r)
		return
	}
	took := c.now.Add(replyFirstEvent).Sub(r.started)
	if took <= replyObjective {
		c.timely++
	}
	if took <= replyDeadline {
		c.served++
	}
	c.at(c.now.Add(replyResultRead), func() { c.free(r); c.dispatch(stage) })
}

// expire drops the tasks that are refused, and sends calls.
func (c *lateRun) expire() {
	for stage, p := range c.pools {
		for _, item := range p.Expire(c.now) {
			if c.pending[item.Task] >= 0 {
				c.refuse(item.Task)
			}
		}
		p.TakeLateDecisions()
		c.dispatch(stage)
	}
}

// offer schedules requests at a rate for a time and returns its end.
func (c *lateRun) offer(rate float64, from time.Time, length time.Duration) time.Time {
	random := rand.New(rand.NewPCG(5+c.seed, uint64(from.Unix())))
	gap := float64(time.Second) / rate
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(random.ExpFloat64() * gap)) {
		c.at(at, func() {
			r := &reply{started: c.now}
			c.offered++
			c.add(0, r)
		})
	}
	return from.Add(length)
}

// play runs until no event is left before a time.
func (c *lateRun) play(until time.Time) {
	for at := start; at.Before(until); at = at.Add(expireInterval) {
		c.at(at, c.expire)
	}
	for len(c.events) > 0 {
		event := heap.Pop(&c.events).(chainEvent)
		c.now = event.at
		event.run()
	}
}

// outcome sums up a run.
type outcome struct {
	offered, timely, served int
	// vain is the number of items made that no served request needed.
	vain int
}

// outcome returns the outcome of a run that has ended.
func (c *lateRun) outcome() outcome {
	made, perReply := 0, 0
	for i, s := range c.stages {
		made += c.items[i]
		perReply += s.items
	}
	return outcome{offered: c.offered, timely: c.timely, served: c.served, vain: made - c.served*perReply}
}

// burst is a load: a base rate, and another rate for a time, in requests a second.
type burst struct {
	base, rate float64
	length     time.Duration
}

// replayBurst plays a burst with each of some seeds and returns the sum of the outcomes.
func replayBurst(stages []lateStage, b burst, late bool) outcome {
	const seeds = 3
	outcomes := make(chan outcome, seeds)
	for seed := range uint64(seeds) {
		go func() {
			run := newLateRun(stages, late)
			run.seed = seed
			at := run.offer(b.base, start, 40*time.Second)
			at = run.offer(b.rate, at, b.length)
			at = run.offer(b.base, at, 15*time.Second)
			run.play(at.Add(10 * time.Second))
			outcomes <- run.outcome()
		}()
	}
	var sum outcome
	for range seeds {
		one := <-outcomes
		sum.offered += one.offered
		sum.timely += one.timely
		sum.served += one.served
		sum.vain += one.vain
	}
	return sum
}

// compareBurst replays a burst with late work off and on, and requires that with it more requests are
// served, fewer items are made in vain and not clearly fewer requests are in time.
func compareBurst(t *testing.T, stages []lateStage, b burst) {
	t.Helper()
	off, on := replayBurst(stages, b, false), replayBurst(stages, b, true)
	t.Logf("off %+v, on %+v", off, on)
	assert.Assert(t, on.served > off.served, "%d served, %d without late work", on.served, off.served)
	assert.Assert(t, on.vain < off.vain, "%d items in vain, %d without late work", on.vain, off.vain)
	assert.Assert(t, on.timely > off.timely*99/100, "%d in time, %d without late work", on.timely, off.timely)
}

// TestBurstOnAChainServesMoreAndWastesLess replays a burst of one and a half times what the third pool
// of a chain does, and guards against dropping late requests that the capacity after the burst serves,
// and against work at the first pools for requests that the third can't serve.
func TestBurstOnAChainServesMoreAndWastesLess(t *testing.T) {
	compareBurst(t, unevenChain, burst{base: 126, rate: 315, length: 6500 * time.Millisecond})
}

// TestBurstOverAHighBaseLoadServesMoreAndWastesLess guards against late work that delays the requests
// after a burst: three quarters of the third pool's capacity are in use without it.
func TestBurstOverAHighBaseLoadServesMoreAndWastesLess(t *testing.T) {
	compareBurst(t, unevenChain, burst{base: 160, rate: 294, length: 6 * time.Second})
}

// TestOverloadThatLastsIsNotServedWorse replays 1.4 times what the third pool does for 30 s, in which
// waiting benefits no request, and guards against late work that displaces work in time.
func TestOverloadThatLastsIsNotServedWorse(t *testing.T) {
	compareBurst(t, unevenChain, burst{base: 126, rate: 294, length: 30 * time.Second})
}

// TestBurstAtTwoPoolsServesMoreAndWastesLess guards against late work that a pool in the middle of a chain
// keeps although the pool after it is full as well.
func TestBurstAtTwoPoolsServesMoreAndWastesLess(t *testing.T) {
	compareBurst(t, competingChain, burst{base: 150, rate: 330, length: 6 * time.Second})
}
