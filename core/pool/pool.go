// Package pool queues the items of one stage pool for all entries together and
// closes batches. A pool's upstream spends most of a call's time whether the call
// is full or nearly empty, so the queue is common and a batch is closed only when
// an upstream is free to take it: the fuller the queue, the fuller the batches.
//
// The package does no I/O and knows no wall clock: time and observations come in
// as arguments, calls to make come out. It is not safe for concurrent use.
package pool

import (
	"time"

	"acaciawinch/core/routes"
)

// Ticket names one request's stage at this pool.
type Ticket uint64

// Pull is what an item moves to or from one availability zone, in bytes: its inputs
// lie there, or its result is needed there.
type Pull struct {
	Zone  string
	Bytes int64
}

// Task is one request's stage: a number of items that are needed together.
type Task struct {
	Ticket Ticket
	// Rank orders tasks: the lowest goes first among those that are in time.
	Rank int
	// Value is what the request counts for against others of its rank; 0 if unknown.
	Value float64
	// Due is when the task must be done for the request to be on time.
	Due time.Time
	// Last is when the request ends; no item starts after it.
	Last time.Time
	// Bytes is the approximate size of one result.
	Bytes int64
	// Pulls are what each item moves.
	Pulls []Pull

	// late is set once the task can't be on time any more.
	late bool
}

// crossing returns how many bytes of an item cross zones if it is made in zone.
func (t *Task) crossing(zone string) int64 {
	var bytes int64
	for _, pull := range t.Pulls {
		if pull.Zone != zone {
			bytes += pull.Bytes
		}
	}
	return bytes
}

// Item is one piece of a task.
type Item struct {
	Task *Task
	// Index is the item's place in its task.
	Index int
	// tries counts the calls that the item was part of.
	tries int
}

// Call is a batch for one upstream.
type Call struct {
	Upstream routes.Upstream
	Items    []*Item
	// Began is when the call was closed.
	Began time.Time
	// Expected is how long the call takes if all is well, Patience how long it may take
	// before it is given up.
	Expected, Patience time.Duration
	bytes              int64
}

// Outcome is how one item of a call ended.
type Outcome int

// The outcomes of an item.
const (
	// Made: there is a result.
	Made Outcome = iota
	// Again: nothing was made, and another try may work.
	Again
	// NoRoom: the upstream had no room for the result. Results that this pool does not
	// know of lie there.
	NoRoom
	// Ended: nothing was made, and nobody waits any more.
	Ended
)

// maxTries bounds the calls of one item: a first one, one after an upstream's
// fault, and one more for the fault of a second.
const maxTries = 3

// An upstream whose call failed gets no other for a while, unless all have failed:
// first about two calls' time, after which one try tells, then twice as long up to
// longestAvoid. Discovery forgets one that crashed after three heartbeats, 3.6 s.
const (
	firstAvoid   = 800 * time.Millisecond
	longestAvoid = 3200 * time.Millisecond
	// leastRest is how long it gets none even if all have failed: a connection that is
	// refused fails within a round trip, and would use up all tries of an item.
	leastRest = 200 * time.Millisecond
)

// unknownFor is how long the room that an upstream turned out not to have counts as
// taken. Results lie there some 300 ms of a busy pool's work.
const unknownFor = 300 * time.Millisecond

// Pool is the queue of one service.
type Pool struct {
	settings routes.Pool
	workers  map[string]*worker
	// queue holds the tasks with waiting items, in the order of the last sort; the later
	// ones were added since. groups finds them by their tickets.
	queue  []*group
	groups map[Ticket]*group
	// waiting counts the waiting items.
	waiting int
	// slowdown is a moving average of a call's time against the configured one.
	slowdown float64
	// fullItems is a moving average of the items of calls that left others waiting; 0 before
	// the first.
	fullItems float64
}

// worker is what the pool knows of one upstream.
type worker struct {
	upstream routes.Upstream
	calls    int
	room     int64
	avoid    time.Time
	// failed is when a call last failed.
	failed time.Time
	// failures counts the calls that failed since one went well.
	failures int
	// unknown is the size of results that the pool does not know of but that must be
	// there, as there was no room; it counts until unknownUntil.
	unknown      int64
	unknownUntil time.Time
	// until is when the call that runs is expected to end.
	until time.Time
	// slow is a moving average of a call's time against the configured one.
	slow float64
}

// New returns an empty Pool.
func New(settings routes.Pool) *Pool {
	return &Pool{settings: settings, workers: make(map[string]*worker), groups: make(map[Ticket]*group), slowdown: 1}
}

// Configure replaces the settings.
func (p *Pool) Configure(settings routes.Pool) { p.settings = settings }

// SetUpstreams replaces the upstreams that get calls; those that take no new work get none.
func (p *Pool) SetUpstreams(list []routes.Upstream) {
	kept := make(map[string]*worker, len(list))
	for _, upstream := range list {
		w := p.workers[upstream.ID]
		if w == nil || w.upstream.Born != upstream.Born {
			w = &worker{slow: 1} // one that has started again holds nothing of before
		}
		w.upstream = upstream
		kept[upstream.ID] = w
	}
	p.workers = kept
}

// Evacuated tells whether all upstreams are in zones that are to be emptied: nothing can be
// made until one is taken back.
func (p *Pool) Evacuated() bool {
	for _, w := range p.workers {
		if !w.upstream.Evacuated {
			return false
		}
	}
	return len(p.workers) > 0
}

// CallsIn returns how many calls run at the upstreams of a zone.
func (p *Pool) CallsIn(zone string) int {
	calls := 0
	for _, w := range p.workers {
		if w.upstream.Zone == zone {
			calls += w.calls
		}
	}
	return calls
}

// Finish records that a call ended with an outcome for each of its items, in their
// order, and returns the items that nobody will try again. Those with outcome
// Again are queued unless they were tried often enough; want of room is no try.
func (p *Pool) Finish(call *Call, outcomes []Outcome, now time.Time) (failed []*Item) {
	w := p.worker(call.Upstream)
	for i, item := range call.Items {
		if outcomes[i] == Made {
			continue
		}
		if w != nil {
			w.room -= item.Task.Bytes
		}
		if outcomes[i] == NoRoom {
			item.tries--
			w.foundFull(item.Task.Bytes, now)
		}
		if outcomes[i] == Ended || item.tries >= maxTries {
			failed = append(failed, item)
			continue
		}
		p.push(item)
	}
	if w != nil {
		w.calls--
	}
	return failed
}

// Succeed records that an upstream answered a call.
func (p *Pool) Succeed(call *Call, now time.Time) {
	if w := p.worker(call.Upstream); w != nil {
		w.failures = 0
		p.learn(w, call, now)
	}
}

// foundFull records that there was no room for a result.
func (w *worker) foundFull(bytes int64, now time.Time) {
	if w == nil {
		return
	}
	if now.After(w.unknownUntil) {
		w.unknown = 0
	}
	w.unknown += bytes
	w.unknownUntil = now.Add(unknownFor)
}

// roomLeft returns how many bytes of results an upstream can still take. All of its room
// is used: to keep some for results above the configured size costs more items a call than the
// few that find no room and are tried again.
func (p *Pool) roomLeft(w *worker, now time.Time) int64 {
	left := p.settings.RoomBytes - w.room
	if now.Before(w.unknownUntil) {
		left -= w.unknown
	}
	return left
}

// Fail records that an upstream's call failed as a whole, so that it is left alone
// for a while.
func (p *Pool) Fail(call *Call, now time.Time) {
	w := p.worker(call.Upstream)
	if w == nil {
		return
	}
	w.failed = now
	w.avoid = now.Add(min(firstAvoid<<w.failures, longestAvoid))
	w.failures = min(w.failures+1, 8)
	if now.After(w.until) {
		p.learn(w, call, now) // it took longer than it should: it is slow, or silent
	}
}

// Alone tells whether an upstream answers calls as soon as one that only this pool
// calls and that is not slow.
func (p *Pool) Alone(id string) bool {
	w := p.workers[id]
	return w != nil && w.slow < aloneSlow
}

// aloneSlow is how much longer than configured the calls to an upstream may take on
// average that this pool alone calls. One that two owners call takes twice as long.
const aloneSlow = 1.25

// worker returns what is known of one start of an upstream, nil if it is gone.
func (p *Pool) worker(upstream routes.Upstream) *worker {
	w := p.workers[upstream.ID]
	if w == nil || w.upstream.Born != upstream.Born {
		return nil
	}
	return w
}

// Free records that results of an upstream, of a total size, are gone.
func (p *Pool) Free(upstream routes.Upstream, bytes int64) {
	if w := p.worker(upstream); w != nil {
		w.room = max(0, w.room-bytes)
	}
}
