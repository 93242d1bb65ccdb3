// Package pool queues the items of one stage pool for all entries together and
// closes batches. A pool's upstream spends most of a call's time whether the call
// is full or nearly empty, so the queue is common and a batch is closed only when
// an upstream is free to take it: the fuller the queue, the fuller the batches.
//
// The package does no I/O and knows no wall clock: time and observations come in
// as arguments, calls to make come out. It is not safe for concurrent use.
package pool

import (
	"sort"
	"time"

	"acaciawinch/core/routes"
)

// Ticket names one request's stage at this pool.
type Ticket uint64

// Task is one request's stage: a number of items that are needed together.
type Task struct {
	Ticket Ticket
	// Rank orders tasks: the lowest goes first among those that are in time.
	Rank int
	// Due is when the task must be done for the request to be on time.
	Due time.Time
	// Last is when the request ends; no item starts after it.
	Last time.Time
	// Bytes is the approximate size of one result.
	Bytes int64
	// Near is the availability zone whose upstreams are preferred.
	Near string
}

// Item is one piece of a task.
type Item struct {
	Task *Task
	// Index is the item's place in its task.
	Index int
	// tries counts the calls that the item was part of.
	tries int
}

// Tries returns how many calls the item was part of.
func (i *Item) Tries() int { return i.tries }

// Call is a batch for one upstream.
type Call struct {
	Upstream routes.Upstream
	Items    []*Item
	// Began is when the call was closed.
	Began time.Time
	// Patience is how long the call may take before it is given up.
	Patience time.Duration
	bytes    int64
}

// Outcome is how one item of a call ended.
type Outcome int

// The outcomes of an item.
const (
	// Made: there is a result.
	Made Outcome = iota
	// Again: nothing was made, and another try may work.
	Again
	// Ended: nothing was made, and nobody waits any more.
	Ended
)

// maxTries bounds the calls of one item: a first one, one after an upstream's
// fault, and one more for the fault of a second.
const maxTries = 3

// roomShare is the part of an upstream's room for results that calls may fill; the
// rest is for results whose sizes are above the configured ones.
const roomShare = 0.9

// avoidAfterFailure is how long an upstream whose call failed gets no other, while
// there are others: about two calls' time, after which one try tells.
const avoidAfterFailure = 800 * time.Millisecond

// Pool is the queue of one service.
type Pool struct {
	settings routes.Pool
	workers  map[string]*worker
	queue    []*Item
	// slowdown is a moving average of a call's time against the configured one.
	slowdown float64
}

// worker is what the pool knows of one upstream.
type worker struct {
	upstream routes.Upstream
	calls    int
	room     int64
	avoid    time.Time
	// slow is a moving average of a call's time against the configured one.
	slow float64
}

// New returns an empty Pool.
func New(settings routes.Pool) *Pool {
	return &Pool{settings: settings, workers: make(map[string]*worker), slowdown: 1}
}

// Configure replaces the settings.
func (p *Pool) Configure(settings routes.Pool) { p.settings = settings }

// SetUpstreams replaces the upstreams that get calls. Leaving ones get none.
func (p *Pool) SetUpstreams(list []routes.Upstream) {
	kept := make(map[string]*worker, len(list))
	for _, upstream := range list {
		w := p.workers[upstream.ID]
		if w == nil {
			w = &worker{slow: 1}
		}
		w.upstream = upstream
		kept[upstream.ID] = w
	}
	p.workers = kept
}

// Add queues the items of a task and returns them.
func (p *Pool) Add(task *Task, count int) []*Item {
	items := make([]*Item, count)
	for i := range items {
		items[i] = &Item{Task: task, Index: i}
	}
	p.queue = append(p.queue, items...)
	return items
}

// Cancel drops the waiting items of a task.
func (p *Pool) Cancel(ticket Ticket) {
	p.drop(func(i *Item) bool { return i.Task.Ticket == ticket })
}

// Expire drops and returns the waiting items that can't be made before their
// request ends.
func (p *Pool) Expire(now time.Time) []*Item {
	shortest := p.settings.CallTime + p.settings.ItemTime
	return p.drop(func(i *Item) bool { return now.Add(shortest).After(i.Task.Last) })
}

// drop removes and returns the waiting items that match.
func (p *Pool) drop(match func(*Item) bool) []*Item {
	var dropped []*Item
	kept := p.queue[:0]
	for _, item := range p.queue {
		if match(item) {
			dropped = append(dropped, item)
			continue
		}
		kept = append(kept, item)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return dropped
}

// Next closes a batch for a free upstream and returns it, or nil if nothing can be
// sent now.
func (p *Pool) Next(now time.Time) *Call {
	if len(p.queue) == 0 {
		return nil
	}
	p.sort(now)
	for _, w := range p.free(now) {
		if call := p.fill(w, now); call != nil {
			return call
		}
	}
	return nil
}

// free returns the upstreams that can take a call, the best first.
func (p *Pool) free(now time.Time) []*worker {
	near := p.queue[0].Task.Near
	var usable, avoided []*worker
	for _, w := range p.workers {
		switch {
		case w.upstream.Leaving || w.calls >= max(1, p.settings.Slots):
		case now.Before(w.avoid):
			avoided = append(avoided, w)
		default:
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 {
		// Each upstream has failed lately: one that failed is better than none.
		usable = avoided
	}
	sort.Slice(usable, func(i, j int) bool { return better(usable[i], usable[j], near) })
	return usable
}

// slowFactor is how much slower an upstream must be to come after one of another
// zone: a call's time counts for more than the bytes between zones.
const slowFactor = 1.3

// better tells whether a is to be used before b.
func better(a, b *worker, near string) bool {
	if a.slow > b.slow*slowFactor || b.slow > a.slow*slowFactor {
		return a.slow < b.slow
	}
	if nearA, nearB := a.upstream.Zone == near, b.upstream.Zone == near; nearA != nearB {
		return nearA
	}
	return a.upstream.ID < b.upstream.ID
}

// fill closes a batch of the first items that fit into an upstream's room.
func (p *Pool) fill(w *worker, now time.Time) *Call {
	call := &Call{Upstream: w.upstream, Began: now}
	room := int64(float64(p.settings.RoomBytes)*roomShare) - w.room
	kept := p.queue[:0:0]
	for _, item := range p.queue {
		if len(call.Items) >= p.settings.Batch || call.bytes+item.Task.Bytes > room {
			kept = append(kept, item)
			continue
		}
		call.Items = append(call.Items, item)
		call.bytes += item.Task.Bytes
	}
	if len(call.Items) == 0 {
		return nil
	}
	p.queue = kept
	for _, item := range call.Items {
		item.tries++
	}
	call.Patience = p.patience(w, len(call.Items))
	w.calls++
	w.room += call.bytes
	return call
}

// sort orders the queue. Tasks that can still be on time go before those that are
// late already: under a burst, time spent on late ones makes the others late too.
// Among those in time the rank decides, then the earlier due time; items of one
// task stay together, as none is of use alone.
func (p *Pool) sort(now time.Time) {
	shortest := time.Duration(float64(p.settings.CallTime+p.settings.ItemTime) * p.slowdown)
	late := func(t *Task) bool { return now.Add(shortest).After(t.Due) }
	sort.SliceStable(p.queue, func(i, j int) bool {
		a, b := p.queue[i].Task, p.queue[j].Task
		if lateA, lateB := late(a), late(b); lateA != lateB {
			return lateB
		}
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		return a.Ticket < b.Ticket
	})
}

// Finish records that a call ended with an outcome for each of its items, in their
// order, and returns the items that nobody will try again. Those with outcome
// Again are queued unless they were tried often enough.
func (p *Pool) Finish(call *Call, outcomes []Outcome, now time.Time) (failed []*Item) {
	w := p.workers[call.Upstream.ID]
	for i, item := range call.Items {
		if outcomes[i] == Made {
			continue
		}
		if w != nil {
			w.room -= item.Task.Bytes
		}
		if outcomes[i] == Again && item.tries < maxTries {
			p.queue = append(p.queue, item)
			continue
		}
		failed = append(failed, item)
	}
	if w != nil {
		w.calls--
		p.learn(w, call, now)
	}
	return failed
}

// learnRate is the weight of the newest call in the moving averages: some five
// calls, two seconds of a busy upstream.
const learnRate = 0.2

// learn updates the averages of what calls take.
func (p *Pool) learn(w *worker, call *Call, now time.Time) {
	expected := p.callTime(len(call.Items))
	if expected <= 0 {
		return
	}
	ratio := float64(now.Sub(call.Began)) / float64(expected)
	w.slow += learnRate * (ratio - w.slow)
	p.slowdown += learnRate * (ratio - p.slowdown)
}

// callTime is the configured time of a call with a number of items.
func (p *Pool) callTime(items int) time.Duration {
	return p.settings.CallTime + time.Duration(items)*p.settings.ItemTime
}

// Limits of a call's patience, against its configured time. An upstream that is
// known to be slow gets more, so that a slow one still finishes what it began.
const (
	patienceFactor = 2.5
	slowPatience   = 2.0
	patienceSlack  = 300 * time.Millisecond
)

// patience returns how long a call of a number of items may take.
func (p *Pool) patience(w *worker, items int) time.Duration {
	factor := max(patienceFactor, slowPatience*w.slow)
	return time.Duration(factor*float64(p.callTime(items))) + patienceSlack
}

// Fail records that an upstream's call failed as a whole, so that it is left alone
// for a while.
func (p *Pool) Fail(id string, now time.Time) {
	if w := p.workers[id]; w != nil {
		w.avoid = now.Add(avoidAfterFailure)
	}
}

// Free records that results of an upstream, of a total size, are gone.
func (p *Pool) Free(id string, bytes int64) {
	if w := p.workers[id]; w != nil {
		w.room = max(0, w.room-bytes)
	}
}

// Waiting returns how many items wait.
func (p *Pool) Waiting() int { return len(p.queue) }

// Wait estimates how long an item that is queued last waits until its call ends.
func (p *Pool) Wait(now time.Time) time.Duration {
	usable := 0
	for _, w := range p.workers {
		if !w.upstream.Leaving {
			usable++
		}
	}
	if usable == 0 || p.settings.Batch == 0 {
		return 0
	}
	full := float64(p.callTime(p.settings.Batch)) * p.slowdown
	calls := float64(len(p.queue)) / float64(p.settings.Batch) / float64(usable)
	return time.Duration(full * (calls + 1))
}

// Tickets returns the tickets of the waiting items, each once.
func (p *Pool) Tickets() []Ticket {
	var tickets []Ticket
	seen := make(map[Ticket]bool)
	for _, item := range p.queue {
		if !seen[item.Task.Ticket] {
			seen[item.Task.Ticket] = true
			tickets = append(tickets, item.Task.Ticket)
		}
	}
	return tickets
}
