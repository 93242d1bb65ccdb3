package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

// deploymentPool is one pool of a deployment and the load of its standard rate.
type deploymentPool struct {
	name      string
	upstreams int
	pool      routes.Pool
	// itemsPerSecond is the offered load at the standard rate, itemsPerTask the mean size of a
	// task.
	itemsPerSecond float64
	itemsPerTask   int
	// resultBytes is the size of a result, which its upstream stores for keep.
	resultBytes int64
	keep        time.Duration
}

// standardRates holds the stage pools of the two present deployments at their standard
// rates, without bursts.
var standardRates = []deploymentPool{
	{"ieba-router encode", 4, stageSettings(8, 21, 18), 46, 2, 900_000, 300 * time.Millisecond},
	{"ieba-router retrieve", 5, stageSettings(20, 8.6, 2.7), 142, 6, 60_000, 150 * time.Millisecond},
	{"ieba-router rerank", 5, stageSettings(34, 5, 0.45), 237, 10, 6_000, 150 * time.Millisecond},
	{"cgl-blendops encode", 5, stageSettings(8, 21, 18), 70, 2, 900_000, 300 * time.Millisecond},
	{"cgl-blendops retrieve", 5, stageSettings(18, 9.5, 2.5), 129, 4, 60_000, 150 * time.Millisecond},
	{"cgl-blendops rerank", 5, stageSettings(48, 3.6, 0.62), 323, 10, 6_000, 150 * time.Millisecond},
}

// stageSettings returns the settings of a stage pool: items per call, ms per item, MB of room.
func stageSettings(batch int, itemMS, roomMB float64) routes.Pool {
	return routes.Pool{Slots: 1, Queue: 2, Batch: batch, CallTime: 200 * time.Millisecond,
		ItemTime: time.Duration(itemMS * float64(time.Millisecond)), RoomBytes: int64(roomMB * 1e6)}
}

// replay offers a multiple of the standard rate for 20 s and returns the share of tasks done
// within limit, and the mean number of items per call.
func replay(load deploymentPool, rate float64, limit time.Duration) (inTime, itemsPerCall float64) {
	return replayOn(New(load.pool), load, rate, limit)
}

// replayOn does the same as replay on an empty pool with the settings of the load.
func replayOn(p *Pool, load deploymentPool, rate float64, limit time.Duration) (inTime, itemsPerCall float64) {
	sim := &simulation{load: load, pool: p, random: rand.New(rand.NewPCG(1, 2)), now: start, limit: limit}
	list := upstreams(load.upstreams)
	sim.pool.SetUpstreams(list)
	gap := time.Duration(float64(load.itemsPerTask) / (load.itemsPerSecond * rate) * float64(time.Second))
	for arrival := start; arrival.Before(start.Add(20 * time.Second)); arrival = arrival.Add(time.Duration(sim.random.ExpFloat64() * float64(gap))) {
		sim.advance(arrival)
		sim.arrive()
	}
	sim.advance(start.Add(40 * time.Second))
	return float64(sim.timely) / float64(sim.tasks), float64(sim.items) / float64(sim.calls)
}

// simulation simulates the upstreams of one pool.
type simulation struct {
	load   deploymentPool
	pool   *Pool
	random *rand.Rand
	now    time.Time
	limit  time.Duration
	events []simulationEvent
	// valueOf returns the value of a task, done is called for each task done in time; both may
	// be nil.
	valueOf func(Ticket) float64
	done    func(Ticket)
	// remaining counts the items of each task that have no result yet.
	remaining                   map[Ticket]int
	tasks, timely, items, calls int
}

// simulationEvent is the end of a call or, if free is set, the freeing of its results.
type simulationEvent struct {
	at   time.Time
	call *Call
	free bool
}

// arrive adds one task.
func (s *simulation) arrive() {
	s.tasks++
	if s.remaining == nil {
		s.remaining = make(map[Ticket]int)
	}
	ticket := Ticket(s.tasks)
	s.remaining[ticket] = s.load.itemsPerTask
	arrived := &Task{Ticket: ticket, Due: s.now.Add(s.limit), Deadline: s.now.Add(10 * s.limit), Bytes: s.load.resultBytes}
	if s.valueOf != nil {
		arrived.Value = s.valueOf(ticket)
	}
	s.pool.Add(arrived, s.load.itemsPerTask)
	s.dispatch()
}

// dispatch sends all calls that can be sent now.
func (s *simulation) dispatch() {
	for call := s.pool.Next(s.now); call != nil; call = s.pool.Next(s.now) {
		s.calls++
		s.items += len(call.Items)
		s.events = append(s.events, simulationEvent{at: s.now.Add(s.pool.callTime(len(call.Items))), call: call})
	}
}

// advance handles the events up to the given time.
func (s *simulation) advance(until time.Time) {
	for {
		next := -1
		for i, e := range s.events {
			if !e.at.After(until) && (next < 0 || e.at.Before(s.events[next].at)) {
				next = i
			}
		}
		if next < 0 {
			s.now = until
			return
		}
		e := s.events[next]
		s.events = append(s.events[:next], s.events[next+1:]...)
		s.now = e.at
		s.handle(e)
		s.dispatch()
	}
}

// handle handles one event.
func (s *simulation) handle(e simulationEvent) {
	if e.free {
		s.pool.Free(e.call.Upstream, int64(len(e.call.Items))*s.load.resultBytes)
		return
	}
	s.pool.Finish(e.call, sameOutcomes(e.call, Done), s.now)
	s.pool.Succeed(e.call, s.now)
	s.events = append(s.events, simulationEvent{at: s.now.Add(s.load.keep), call: e.call, free: true})
	for _, item := range e.call.Items {
		s.remaining[item.Task.Ticket]--
		if s.remaining[item.Task.Ticket] == 0 && !s.now.After(item.Task.Due) {
			s.timely++
			if s.done != nil {
				s.done(item.Task.Ticket)
			}
		}
	}
}

// TestStandardRatesAreServedInTime replays the standard rate of each pool of both
// deployments: more than 97% of the tasks must be done within 900 ms, about three call times.
func TestStandardRatesAreServedInTime(t *testing.T) {
	for _, load := range standardRates {
		inTime, items := replay(load, 1, 900*time.Millisecond)
		t.Logf("%s: %.3f in time, %.1f items per call", load.name, inTime, items)
		assert.Assert(t, inTime > 0.97, "%s: %.3f in time", load.name, inTime)
	}
}

// TestBurstServesTheShareThatFitsInTime replays twice the capacity of each pool: late tasks
// must yield, so that the pool still uses its capacity for tasks in time.
func TestBurstServesTheShareThatFitsInTime(t *testing.T) {
	for _, load := range standardRates {
		inTime, _ := replay(load, 3.5, 1100*time.Millisecond)
		t.Logf("%s: %.3f in time", load.name, inTime)
		assert.Assert(t, inTime > 0.3, "%s: %.3f in time", load.name, inTime)
	}
}
