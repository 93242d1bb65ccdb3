package pool

import (
	"sort"
	"time"
)

const (
	// slowerFactor is how much slower an upstream must be for an upstream in another zone to
	// be preferred: call time counts for more than traffic between zones.
	slowerFactor = 1.3
	// negligibleBytes is how many bytes of an item may cross zones before traffic is taken
	// into account: they cost a hundredth of a call.
	negligibleBytes = 32 << 10
)

// Next closes a batch for a free upstream and returns it, or nil if nothing can be
// sent now.
func (p *Pool) Next(now time.Time) *Call {
	if p.waiting == 0 {
		return nil
	}
	usable := p.usableWorkers(now)
	if len(usable) == 0 {
		return nil // sorting the queue at each arrival would take most of an owner's CPU time
	}
	p.sort(now)
	first := p.queue[0].Task
	sort.Slice(usable, func(i, j int) bool { return preferred(usable[i], usable[j], first) })
	for _, w := range usable {
		if call := p.closeBatch(w, now); call != nil {
			return call
		}
	}
	return nil
}

// usableWorkers returns the upstreams that can take a call. An upstream that failed recently
// is used only if all have failed: while others are merely busy, items wait.
func (p *Pool) usableWorkers(now time.Time) []*worker {
	var usable, avoided []*worker
	busy := 0
	for _, w := range p.workers {
		switch {
		case !w.upstream.TakesWork(now):
		case now.Before(w.avoidUntil):
			avoided = append(avoided, w)
		case w.calls >= max(1, p.settings.Slots):
			busy++
		default:
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 && busy == 0 {
		usable = p.retryableWorkers(avoided, now)
	}
	return usable
}

// retryableWorkers returns the upstreams with a free slot whose last failure is at least
// minAvoidTime ago.
func (p *Pool) retryableWorkers(list []*worker, now time.Time) []*worker {
	var found []*worker
	for _, w := range list {
		if w.calls < max(1, p.settings.Slots) && now.Sub(w.failedAt) >= minAvoidTime {
			found = append(found, w)
		}
	}
	return found
}

// preferred reports whether a is used before b for a batch that begins with first.
func preferred(a, b *worker, first *Task) bool {
	if a.slowdown > b.slowdown*slowerFactor || b.slowdown > a.slowdown*slowerFactor {
		return a.slowdown < b.slowdown
	}
	crossA, crossB := first.crossZoneBytes(a.upstream.Zone), first.crossZoneBytes(b.upstream.Zone)
	if crossA != crossB {
		return crossA < crossB
	}
	return a.upstream.ID < b.upstream.ID
}

// closeBatch returns a batch of the first tasks that an upstream can take, nil if it can
// take none: their results must fit into its room, and they must not have to wait for an
// upstream closer to their data.
func (p *Pool) closeBatch(w *worker, now time.Time) *Call {
	call := &Call{Upstream: w.upstream, StartedAt: now}
	room := p.availableBytes(w, now)
	for _, g := range p.queue {
		if len(call.Items) >= p.settings.Batch {
			break
		}
		if len(g.items) == 0 || !p.meetsDeadline(g.Task, now) || p.shouldWaitForNearer(g.Task, w, now) {
			continue
		}
		count := p.itemsThatFit(call, g, room-call.bytes)
		call.Items = append(call.Items, p.dequeue(g, count)...)
		call.bytes += int64(count) * g.Bytes
	}
	if len(call.Items) == 0 {
		return nil
	}
	p.removeMatching(func(*group) bool { return false })
	p.updateItemsPerCall(len(call.Items))
	p.recordStart(call, w)
	return call
}

// recordStart records that a call is sent to a worker.
func (p *Pool) recordStart(call *Call, w *worker) {
	for _, item := range call.Items {
		item.attempts++
	}
	call.Expected = time.Duration(w.slowdown * float64(p.callTime(len(call.Items))))
	call.Timeout = p.timeout(w, len(call.Items))
	w.calls++
	w.busyUntil = call.StartedAt.Add(call.Expected)
	w.usedBytes += call.bytes
}

// itemsThatFit returns how many items of a task go into a call for whose results room bytes
// are available. A task is split only if not even an empty call takes all of it: the first
// results of a split task are stored, and use room that others need, until the last are done.
func (p *Pool) itemsThatFit(call *Call, g *group, room int64) int {
	places := p.settings.Batch - len(call.Items)
	if g.Bytes > 0 {
		places = min(places, int(max(0, room)/g.Bytes))
	}
	if places < len(g.items) && len(call.Items) > 0 {
		return 0
	}
	return min(places, len(g.items))
}

// shouldWaitForNearer reports whether the items of a task should wait for an upstream that
// moves clearly fewer bytes between zones than w and would still finish them in time.
func (p *Pool) shouldWaitForNearer(task *Task, w *worker, now time.Time) bool {
	here := task.crossZoneBytes(w.upstream.Zone)
	if here <= negligibleBytes || task.late {
		return false
	}
	for _, other := range p.workers {
		if other == w || !other.upstream.TakesWork(now) || now.Before(other.avoidUntil) {
			continue
		}
		if here-task.crossZoneBytes(other.upstream.Zone) <= negligibleBytes {
			continue
		}
		starts := now
		if other.calls > 0 {
			starts = other.busyUntil
		}
		if !p.fullCallEndsAfter(starts, task.Due) {
			return true
		}
	}
	return false
}

// fullCallEndsAfter reports whether a full call that starts at the given time ends after limit.
func (p *Pool) fullCallEndsAfter(starts, limit time.Time) bool {
	full := time.Duration(float64(p.callTime(p.settings.Batch)) * p.slowdown)
	return starts.Add(full).After(limit)
}
