// Package pool implements the queue of one stage pool, or of one part of a large pool,
// shared by all gateways, and closes batches from it. Most of the time of a call is fixed,
// whether the call is full or nearly empty, so there is one queue for all callers, and a
// batch is closed only when an upstream is free to take it: the longer the queue, the
// fuller the batches.
//
// A task is one request's stage, made of items that are needed together. A task is in
// time while it can still be done when it is due, and late after that.
//
// The package does no I/O and reads no clock: time and observations are arguments, the
// calls to make are results. It is not safe for concurrent use.
package pool

import (
	"time"

	"acaciawinch/core/fairshare"
	"acaciawinch/core/forecast"
	"acaciawinch/core/routes"
)

// Ticket identifies a task in its pool.
type Ticket uint64

// Transfer is the number of bytes that an item transfers from or to one availability zone,
// where its inputs are stored or its result is needed.
type Transfer struct {
	Zone  string
	Bytes int64
}

// Task is one request's stage: a number of items that are needed together.
type Task struct {
	Ticket Ticket
	// Rank is the priority of the task: among those in time the lowest rank goes first.
	Rank int
	// Value is the value of the request relative to others of its rank; 0 if unknown.
	Value float64
	// Due is when the task must be done for the request to meet its latency objective.
	Due time.Time
	// Deadline is the deadline of the request; no item starts after it.
	Deadline time.Time
	// Bytes is the approximate size of one result.
	Bytes int64
	// Transfers are the transfers of each item.
	Transfers []Transfer
	// Workspace is the workspace of the request; empty if it has none.
	Workspace string
	// Promised is set if the client was told to return now. The task is not refused because of
	// others ahead of it.
	Promised bool
	// Later names the services of the later pools of the task's chain.
	Later []string

	// late is set once the task can no longer be done when it is due.
	late bool
	// passedOver is set once the task went behind others because of its workspace's share.
	passedOver bool
}

// crossZoneBytes returns how many bytes of an item cross zones if it runs in zone.
func (t *Task) crossZoneBytes(zone string) int64 {
	var bytes int64
	for _, transfer := range t.Transfers {
		if transfer.Zone != zone {
			bytes += transfer.Bytes
		}
	}
	return bytes
}

// Item is one unit of work of a task.
type Item struct {
	Task *Task
	// Index is the item's position in its task.
	Index int
	// attempts counts the calls that the item was part of.
	attempts int
}

// Call is a batch for one upstream.
type Call struct {
	Upstream routes.Upstream
	Items    []*Item
	// StartedAt is when the batch was closed.
	StartedAt time.Time
	// Expected is the expected duration of the call, Timeout its timeout.
	Expected, Timeout time.Duration
	bytes             int64
}

// Outcome is how one item of a call ended.
type Outcome int

const (
	// Done means that the item has a result.
	Done Outcome = iota
	// Retryable means that the item has no result and may be retried.
	Retryable
	// NoRoom means that the upstream had no room for the result: it stores results that
	// this pool does not know of.
	NoRoom
	// NotSent means that the call was not sent, because its upstream takes no new work any more.
	NotSent
	// Abandoned means that the item has no result and that no caller waits for it any more.
	Abandoned
)

// maxAttempts bounds the calls of one item: the first call and a retry after the
// failure of each of two upstreams.
const maxAttempts = 3

// An upstream whose call failed is avoided, unless all have failed: first for about the
// time of two calls, after which one attempt shows whether it has recovered, then for twice
// as long each time, up to maxAvoidTime. Discovery removes a crashed upstream after three
// heartbeats, 3.6 s.
const (
	initialAvoidTime = 800 * time.Millisecond
	maxAvoidTime     = 3200 * time.Millisecond
	// minAvoidTime is how long a failed upstream is avoided even if all upstreams have failed:
	// a refused connection fails within a round trip, so that immediate retries would use up
	// all attempts of an item.
	minAvoidTime = 200 * time.Millisecond
)

// unaccountedTTL is how long unaccountedBytes counts as used after an upstream had no room.
// In a busy pool results are stored for some 300 ms.
const unaccountedTTL = 300 * time.Millisecond

// Pool is the queue of one stage pool, or of one part of it, with the state of its upstreams.
type Pool struct {
	settings  routes.Pool
	upstreams map[string]*upstreamState
	// queue holds the tasks with waiting items, in the order of the last sort, followed by
	// those added since. queuedByTicket holds the same tasks by ticket.
	queue          []*queuedTask
	queuedByTicket map[Ticket]*queuedTask
	// byValue is the space in which classify sorts the queue.
	byValue []*queuedTask
	// waiting counts the waiting items, held those of them that were held for later pools at the last attempt to
	// close a batch.
	waiting, held int
	// lastCall is when the last call was closed.
	lastCall time.Time
	// slowdown is a moving average of the ratio of measured to configured call time.
	slowdown float64
	// meanFullCallItems is a moving average of the number of items in calls that left other
	// items waiting; 0 before the first such call.
	meanFullCallItems float64
	// shares holds the shares of workspaces; nil if the pool is not shared between them.
	shares *fairshare.Shares
	// passedOver holds the tasks that TakePassedOver returns next.
	passedOver []Ticket
	// reserved counts the items of refused clients that were told to return soon.
	reserved int
	// forecast expects the capacity for late tasks; nil if they are kept by LateWaitFactor only.
	forecast *forecast.Forecast
	// keepsLate is set by sort if late tasks are kept by the forecast.
	keepsLate bool
	// later holds the newest estimate for each later pool, by the name of its service.
	later map[string]laterPool
	// decisions holds the decisions about late tasks that were not taken yet.
	decisions []LateDecision
	// roomBound is a moving average of the share of calls that the room and not the number of items
	// limited.
	roomBound float64
	// lastLateCall is when the last call that begins with a late task was closed.
	lastLateCall time.Time
}

// upstreamState is the state of one upstream.
type upstreamState struct {
	upstream   routes.Upstream
	calls      int
	usedBytes  int64
	avoidUntil time.Time
	// failedAt is when a call last failed.
	failedAt time.Time
	// failures counts the calls that failed since the last success.
	failures int
	// unaccountedBytes estimates the size of stored results that the pool does not know of,
	// inferred from lack of room; it counts until unaccountedUntil.
	unaccountedBytes int64
	unaccountedUntil time.Time
	room             roomState
	// busyUntil is when the running call is expected to end.
	busyUntil time.Time
	// slowdown is a moving average of the ratio of measured to configured call time.
	slowdown float64
	// limit is the rate of calls a second that the upstream has named, if limited is set; it then gets a call
	// only with a permit, which can be used until permitUntil.
	limited     bool
	limit       float64
	permitUntil time.Time
	// lastCall is when it last got a call.
	lastCall time.Time
}

// New returns an empty Pool.
func New(settings routes.Pool) *Pool {
	return &Pool{settings: settings, upstreams: make(map[string]*upstreamState), queuedByTicket: make(map[Ticket]*queuedTask), slowdown: 1,
		later: make(map[string]laterPool), roomBound: 1}
}

// Configure replaces the settings.
func (p *Pool) Configure(settings routes.Pool) { p.settings = settings }

// SetUpstreams replaces the upstreams. Those that take no new work get no calls.
func (p *Pool) SetUpstreams(list []routes.Upstream) {
	kept := make(map[string]*upstreamState, len(list))
	for _, upstream := range list {
		s := p.upstreams[upstream.ID]
		if s == nil || s.upstream.Incarnation != upstream.Incarnation {
			s = &upstreamState{slowdown: 1} // a new incarnation has no calls and no results
		}
		s.upstream = upstream
		kept[upstream.ID] = s
	}
	p.upstreams = kept
}

// Evacuated reports whether the pool has upstreams and all of them are in evacuated zones:
// no item can run until the evacuation of a zone ends.
func (p *Pool) Evacuated() bool {
	for _, s := range p.upstreams {
		if !s.upstream.Evacuated {
			return false
		}
	}
	return len(p.upstreams) > 0
}

// CallsIn returns how many calls are in flight to the upstreams of a zone.
func (p *Pool) CallsIn(zone string) int {
	calls := 0
	for _, s := range p.upstreams {
		if s.upstream.Zone == zone {
			calls += s.calls
		}
	}
	return calls
}

// Finish records that a call ended with an outcome for each of its items, in their
// order, and returns the items that will not be retried. Items without a result are
// queued again unless their outcome is Abandoned or they have had maxAttempts; NoRoom
// and NotSent do not count as attempts.
func (p *Pool) Finish(call *Call, outcomes []Outcome, now time.Time) (failed []*Item) {
	s := p.stateOf(call.Upstream)
	for i, item := range call.Items {
		if outcomes[i] == Done {
			continue
		}
		if s != nil {
			s.usedBytes -= item.Task.Bytes
		}
		switch outcomes[i] {
		case NoRoom:
			item.attempts--
			s.recordNoRoom(item.Task.Bytes, now)
		case NotSent:
			item.attempts--
		}
		if outcomes[i] == Abandoned || item.attempts >= maxAttempts {
			failed = append(failed, item)
			continue
		}
		p.push(item)
	}
	if s != nil {
		s.calls--
	}
	return failed
}

// Succeed records that an upstream responded to a call.
func (p *Pool) Succeed(call *Call, now time.Time) {
	if s := p.stateOf(call.Upstream); s != nil {
		s.failures = 0
		p.updateSlowdown(s, call, now)
	}
}

// recordNoRoom records that there was no room for a result.
func (s *upstreamState) recordNoRoom(bytes int64, now time.Time) {
	if s == nil {
		return
	}
	if now.After(s.unaccountedUntil) {
		s.unaccountedBytes = 0
	}
	s.unaccountedBytes += bytes
	s.unaccountedUntil = now.Add(unaccountedTTL)
}

// availableBytes returns how many bytes of results an upstream can still store. No room is
// held back for results above the configured size: that would cost more items per call than
// the few that find no room and are retried.
func (p *Pool) availableBytes(s *upstreamState, now time.Time) int64 {
	available := p.settings.RoomBytes - s.usedBytes - s.room.unaccountedAt(now)
	if now.Before(s.unaccountedUntil) {
		available -= s.unaccountedBytes
	}
	return available
}

// Fail records that a call failed as a whole. Its upstream is avoided for a while.
func (p *Pool) Fail(call *Call, now time.Time) {
	s := p.stateOf(call.Upstream)
	if s == nil {
		return
	}
	s.failedAt = now
	s.avoidUntil = now.Add(min(initialAvoidTime<<s.failures, maxAvoidTime))
	s.failures = min(s.failures+1, 8)
	if now.After(s.busyUntil) {
		p.updateSlowdown(s, call, now) // the call overran: the upstream is slow or unresponsive
	}
}

// RespondsPromptly reports whether an upstream responds as fast as one that is not slow and
// gets calls from this owner only.
func (p *Pool) RespondsPromptly(id string) bool {
	s := p.upstreams[id]
	return s != nil && s.slowdown < soleCallerSlowdown
}

// soleCallerSlowdown is the mean slowdown below which an upstream is taken to get calls from
// this owner only. Calls to an upstream that two owners call take twice as long.
const soleCallerSlowdown = 1.25

// stateOf returns the state of one incarnation of an upstream, or nil if it is gone.
func (p *Pool) stateOf(upstream routes.Upstream) *upstreamState {
	s := p.upstreams[upstream.ID]
	if s == nil || s.upstream.Incarnation != upstream.Incarnation {
		return nil
	}
	return s
}

// Free records that an upstream has freed results of the given total size.
func (p *Pool) Free(upstream routes.Upstream, bytes int64) {
	if s := p.stateOf(upstream); s != nil {
		s.usedBytes = max(0, s.usedBytes-bytes)
	}
}
