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
	if p.waiting == 0 || p.awaitsReports(now) {
		return nil
	}
	usable := p.usableUpstreams(now)
	if len(usable) == 0 {
		return nil // sorting the queue at each arrival would take most of an owner's CPU time
	}
	p.sort(now)
	p.holdLate(now)
	if p.held == p.waiting {
		return nil
	}
	first := p.queue[0].Task
	late := p.keepsLate && p.queue[0].late && !p.queue[0].split
	if late && now.Sub(p.lastLateCall) < p.lateCallInterval() {
		return nil
	}
	sort.Slice(usable, func(i, j int) bool { return preferred(usable[i], usable[j], first) })
	for _, s := range usable {
		if call := p.closeBatch(s, now); call != nil {
			if late {
				p.lastLateCall = now
			}
			return call
		}
	}
	return nil
}

// usableUpstreams returns the upstreams that can take a call. An upstream that failed recently
// is used only if all have failed: while others are merely busy, items wait.
func (p *Pool) usableUpstreams(now time.Time) []*upstreamState {
	var usable, avoided []*upstreamState
	busy := 0
	for _, s := range p.upstreams {
		switch {
		case !s.upstream.TakesWork(now):
		case now.Before(s.avoidUntil):
			avoided = append(avoided, s)
		case s.calls >= max(1, p.settings.Slots), !s.isPermitted(now):
			busy++
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 && busy == 0 {
		usable = p.retryableUpstreams(avoided, now)
	}
	return usable
}

// retryableUpstreams returns the upstreams with a free slot whose last failure is at least
// minAvoidTime ago.
func (p *Pool) retryableUpstreams(list []*upstreamState, now time.Time) []*upstreamState {
	var found []*upstreamState
	for _, s := range list {
		if s.calls < max(1, p.settings.Slots) && s.isPermitted(now) && now.Sub(s.failedAt) >= minAvoidTime {
			found = append(found, s)
		}
	}
	return found
}

// preferred reports whether a is used before b for a batch that begins with first. Of those with a limit, only
// the ones with a permit are compared.
func preferred(a, b *upstreamState, first *Task) bool {
	if a.limited != b.limited {
		return a.limited // its permit expires
	}
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
func (p *Pool) closeBatch(s *upstreamState, now time.Time) *Call {
	call := &Call{Upstream: s.upstream, StartedAt: now}
	room := p.availableBytes(s, now)
	split := p.mayFill()
	for _, q := range p.queue {
		if len(call.Items) >= p.settings.Batch {
			break
		}
		if len(q.items) == 0 || q.held || !p.meetsDeadline(q.Task, now) || !q.split && p.shouldWaitForNearer(q.Task, s, now) {
			continue
		}
		count := p.itemsThatFit(call, q, room-call.bytes, split)
		if count == 0 {
			continue
		}
		p.recordLateStart(q, now)
		call.Items = append(call.Items, p.dequeue(q, count)...)
		call.bytes += int64(count) * q.Bytes
	}
	if len(call.Items) == 0 {
		return nil
	}
	p.removeMatching(func(*queuedTask) bool { return false })
	p.updateItemsPerCall(len(call.Items))
	p.updateRoomBound(s, call, room)
	p.recordStart(call, s)
	return call
}

// recordStart records that a call is sent to an upstream.
func (p *Pool) recordStart(call *Call, s *upstreamState) {
	for _, item := range call.Items {
		item.attempts++
	}
	p.recordServed(call)
	call.Expected = time.Duration(s.slowdown * float64(p.callTime(len(call.Items))))
	call.Timeout = p.timeout(s, len(call.Items))
	s.calls++
	s.permitUntil = time.Time{}
	s.lastCall, p.lastCall = call.StartedAt, call.StartedAt
	s.busyUntil = call.StartedAt.Add(call.Expected)
	s.usedBytes += call.bytes
}

// itemsThatFit returns how many items of a task go into a call for whose results room bytes
// are available. A task is split only if not even an empty call takes all of it: the first
// results of a split task are stored, and use room that others need, until the last are done. If split
// is set and its results fit, a task is also split to fill the call.
func (p *Pool) itemsThatFit(call *Call, q *queuedTask, room int64, split bool) int {
	places := p.settings.Batch - len(call.Items)
	byRoom := places
	if q.Bytes > 0 {
		byRoom = min(places, int(max(0, room)/q.Bytes))
	}
	switch {
	case byRoom >= len(q.items):
		return len(q.items)
	case len(call.Items) == 0:
		return byRoom
	case split && byRoom == places:
		q.split = true
		return places
	default:
		return 0
	}
}

// shouldWaitForNearer reports whether the items of a task should wait for an upstream that
// moves clearly fewer bytes between zones than the upstream of s and would still finish them in
// time.
func (p *Pool) shouldWaitForNearer(task *Task, s *upstreamState, now time.Time) bool {
	here := task.crossZoneBytes(s.upstream.Zone)
	if here <= negligibleBytes || task.late {
		return false
	}
	for _, other := range p.upstreams {
		if other == s || !other.isPermitted(now) || !other.upstream.TakesWork(now) || now.Before(other.avoidUntil) {
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
