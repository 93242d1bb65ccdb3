package pool

import (
	"slices"
	"time"

	"acaciawinch/core/forecast"
)

// maxLaterAge is the age beyond which an estimate of a later pool says nothing: a pool works off the tasks in time
// of a burst in about a second.
const maxLaterAge = time.Second

// fullWaitFactor is the wait at which a later pool counts as full, in full calls: half a call until an upstream is
// free, and the call itself. Upstreams that work all the time are free after half a call on average.
const fullWaitFactor = 1.5

// laterPool is the newest estimate of the wait at a later pool.
type laterPool struct {
	wait, fullCall time.Duration
	at             time.Time
}

// isFull reports whether a task that is queued behind all others waits for more than half a full call before its
// own call. Late tasks that wait there count: if they did not, a chain
// would make two thirds more items for requests that are not served (TestBurstOnAChainServesMoreAndWastesLess).
func (l laterPool) isFull(now time.Time) bool {
	age := now.Sub(l.at)
	return age <= maxLaterAge && l.wait-age > time.Duration(fullWaitFactor*float64(l.fullCall))
}

// KeepLate makes the pool keep late tasks for the capacity that the forecast expects to be free. With nil,
// or while the forecast knows too little or all upstreams have limits, late tasks are kept by
// LateWaitFactor.
func (p *Pool) KeepLate(f *forecast.Forecast) { p.forecast = f }

// ObserveLater records an estimate that was made at a time: the wait of a task that is queued behind
// all others at a later pool, of which a full call takes fullCall. The newest estimate counts.
func (p *Pool) ObserveLater(service string, wait, fullCall time.Duration, at time.Time) {
	if known, found := p.later[service]; found && known.at.After(at) {
		return
	}
	p.later[service] = laterPool{wait: wait, fullCall: fullCall, at: at}
}

// forecasts reports whether late tasks are kept by the forecast now. With limits, no upstream becomes
// free sooner than expected.
func (p *Pool) forecasts(now time.Time) bool {
	if p.forecast == nil || p.allLimited() {
		return false
	}
	p.forecast.SetFullRate(p.fullRate())
	p.forecast.Observe(now)
	return p.forecast.Known(now)
}

// fullRate returns the number of items a second that the pool does when more wait than fit.
func (p *Pool) fullRate() float64 {
	full := p.fullCall()
	if full <= 0 {
		return 0
	}
	return p.itemsPerCall() / full.Seconds() * p.capacity(full)
}

// FreeRate returns the number of items a second that the forecast expects to be free, and false
// if late tasks are not kept by it.
func (p *Pool) FreeRate(now time.Time) (float64, bool) {
	if !p.forecasts(now) {
		return 0, false
	}
	return p.forecast.Free(now), true
}

// lateQueue follows the late tasks of a pool in their order.
type lateQueue struct {
	// free is the forecast in items a second.
	free float64
	// fullCall is the duration of a full call, which a late task is expected to be part of.
	fullCall time.Duration
	// inTime and ahead are the numbers of items in time and of late items seen so far; reserved items count
	// as late ones.
	inTime, ahead int
}

// lateQueue returns the empty queue of late tasks.
func (p *Pool) lateQueue(now time.Time) *lateQueue {
	return &lateQueue{free: p.forecast.Free(now), fullCall: p.fullCall(), ahead: p.reserved}
}

// serves reports whether the free capacity until the last call that ends before the deadline
// exceeds the late work ahead of some items and these.
func (l *lateQueue) serves(items int, deadline, now time.Time) bool {
	left := deadline.Sub(now) - l.fullCall
	return left > 0 && l.free*left.Seconds() > float64(l.ahead+items)
}

// keeps reports whether a late task stays in the queue behind the tasks seen so far: the forecast serves
// it, or it has LateWaitFactor times its estimated wait left. In an overload that lasts, the
// forecast is 0, and the second keeps the few late tasks that fill calls.
func (p *Pool) keeps(late *lateQueue, t *Task, items int, now time.Time) bool {
	if late.serves(items, t.Deadline, now) {
		return true
	}
	return t.Deadline.Sub(now) >= time.Duration(LateWaitFactor*float64(p.waitBehind(late.inTime+late.ahead)))
}

// lateCallSpacing is the least time between the starts of two calls that begin with a late task, relative to
// the time between the starts of calls if all upstreams are busy. If all free upstreams started such calls
// at once, tasks in time that arrive next would wait for up to a full call; with the spacing, some
// upstream is free soon.
const lateCallSpacing = 0.75

// lateCallInterval returns the least time between the starts of two calls that begin with a late
// task.
func (p *Pool) lateCallInterval() time.Duration {
	full := p.fullCall()
	return time.Duration(lateCallSpacing * float64(full) / max(1, p.capacity(full)))
}

// LateForecast is what the forecast says about a task if it is late.
type LateForecast struct {
	// Known is set if late tasks are kept by the forecast.
	Known bool
	// Kept is set if the task would be kept.
	Kept bool
	// After is the time until the forecast serves the late work ahead of the task and the task; 0 if
	// not before its deadline.
	After time.Duration
}

// ForecastLate returns the forecast for a task that has a number of items if it is late.
func (p *Pool) ForecastLate(t *Task, items int, now time.Time) LateForecast {
	if !p.forecasts(now) {
		return LateForecast{}
	}
	queue := p.lateQueue(now)
	for _, q := range p.queue {
		switch {
		case q.Ticket == t.Ticket:
		case q.held:
		case !q.late:
			queue.inTime += len(q.items)
		case !q.Deadline.After(t.Deadline):
			queue.ahead += len(q.items)
		}
	}
	return LateForecast{Known: true, Kept: p.keeps(queue, t, items, now), After: p.servedAfter(queue, t, items, now)}
}

// servedAfter returns the time until the forecast serves the late work ahead of a task and the task; 0 if a
// call that starts then ends after its deadline.
func (p *Pool) servedAfter(late *lateQueue, t *Task, items int, now time.Time) time.Duration {
	work := float64(late.ahead + items)
	if work > late.free*t.Deadline.Sub(now).Seconds() {
		return 0
	}
	after := time.Duration(work / late.free * float64(time.Second))
	if !p.meetsDeadline(t, now.Add(after)) {
		return 0
	}
	return after
}

// holdLate marks the late tasks that must wait because a later pool of their chain is full: their results
// would occupy room while they wait there. A split task has results already.
func (p *Pool) holdLate(now time.Time) {
	p.held = 0
	full := p.fullLaterPools(now)
	for _, q := range p.queue {
		q.held = len(full) > 0 && q.late && !q.split && usesAny(q.Later, full)
		if q.held {
			p.held += len(q.items)
		}
	}
}

// isHeldInVain reports whether a held task would have too little time left once the later pools of its chain are no
// longer full. A client that waits for it to the end could not come back.
func (p *Pool) isHeldInVain(q *queuedTask, now time.Time) bool {
	if !q.held {
		return false
	}
	var longest time.Duration
	for _, service := range q.Later {
		if later := p.later[service]; now.Sub(later.at) <= maxLaterAge {
			longest = max(longest, later.wait-now.Sub(later.at)-time.Duration(fullWaitFactor*float64(later.fullCall)))
		}
	}
	return q.Deadline.Sub(now) < longest+p.fullCall()
}

// fullLaterPools returns the services of the later pools that are full; none if late tasks are not kept by
// the forecast.
func (p *Pool) fullLaterPools(now time.Time) []string {
	if !p.keepsLate {
		return nil
	}
	var full []string
	for service, later := range p.later {
		if later.isFull(now) {
			full = append(full, service)
		}
	}
	return full
}

// usesAny reports whether one of the later pools of a chain is among those that are full.
func usesAny(later, full []string) bool {
	return slices.ContainsFunc(later, func(service string) bool { return slices.Contains(full, service) })
}

// lateChainFactor is how many full calls a late task is given for each later stage of its chain: half a call until
// an upstream is free, since it starts only while the later pools are not full, and its own call.
const lateChainFactor = 1.5

// LateChainTime returns the time to be left for the later stages of a late task whose full calls
// take the given time together.
func LateChainTime(fullCalls time.Duration) time.Duration {
	return time.Duration(lateChainFactor * float64(fullCalls))
}
