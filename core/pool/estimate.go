package pool

import "time"

// averageWeight is the weight of the newest call in the moving averages, which thus cover
// some five calls, or two seconds of a busy upstream.
const averageWeight = 0.2

// The timeout of a call, relative to its configured time. An upstream that is known to be
// slow gets a longer timeout, so that it can still finish its calls.
const (
	timeoutFactor     = 2.5
	slowTimeoutFactor = 2.0
	timeoutSlack      = 300 * time.Millisecond
)

// timeout returns the timeout of a call with a number of items.
func (p *Pool) timeout(s *upstreamState, items int) time.Duration {
	factor := max(timeoutFactor, slowTimeoutFactor*s.slowdown)
	return time.Duration(factor*float64(p.callTime(items))) + timeoutSlack
}

// callTime returns the configured time of a call with a number of items.
func (p *Pool) callTime(items int) time.Duration {
	return p.settings.CallTime + time.Duration(items)*p.settings.ItemTime
}

// updateSlowdown updates the moving averages of the call time.
func (p *Pool) updateSlowdown(s *upstreamState, call *Call, now time.Time) {
	expected := p.callTime(len(call.Items))
	if expected <= 0 {
		return
	}
	ratio := float64(now.Sub(call.StartedAt)) / float64(expected)
	s.slowdown += averageWeight * (ratio - s.slowdown)
	p.slowdown += averageWeight * (ratio - p.slowdown)
}

// Wait estimates the time until the call ends that serves a task in time which is queued now
// with the given rank and value. Tasks that are late, less urgent or of much less value wait
// behind it and don't count: if they did, a burst would make the tasks of every earlier stage
// look late too, until the pool served late tasks only.
func (p *Pool) Wait(rank int, value float64) time.Duration {
	return p.waitBehind(p.itemsAhead(rank, value))
}

// itemsAhead returns the number of items in time that a task of the given rank and value waits behind.
func (p *Pool) itemsAhead(rank int, value float64) int {
	ahead := 0
	for _, q := range p.queue {
		if !q.late && !q.yieldsTo(rank, value) {
			ahead += len(q.items)
		}
	}
	return ahead
}

// yieldsTo reports whether the task lets a task of the given rank and value go first.
func (q *queuedTask) yieldsTo(rank int, value float64) bool {
	if q.Rank != rank {
		return q.Rank > rank
	}
	return q.Value*classFactor < value
}

// Backlog estimates the time until the call ends that serves a task queued behind all others. Tasks that are held for
// later pools don't count: if they did, the late tasks of two pools that follow each other in different
// chains would hold each other.
func (p *Pool) Backlog() time.Duration { return p.waitBehind(max(0, p.waiting-p.held)) }

// waitBehind estimates the time until the call ends that serves an item with the given number
// of items ahead of it.
func (p *Pool) waitBehind(ahead int) time.Duration {
	if p.settings.Batch == 0 {
		return 0
	}
	full := p.fullCall()
	usable := p.capacity(full)
	if usable == 0 {
		return 0
	}
	return time.Duration(float64(full) * (float64(ahead)/p.itemsPerCall()/usable + 1))
}

// fullCall returns the expected duration of a call when more items are waiting than fit.
func (p *Pool) fullCall() time.Duration {
	return time.Duration(float64(p.settings.CallTime+time.Duration(p.itemsPerCall()*float64(p.settings.ItemTime))) * p.slowdown)
}

// itemsPerCall returns how many items a call takes when more are waiting than fit: the
// batch size, or less where there is no room for their results.
func (p *Pool) itemsPerCall() float64 {
	if p.meanFullCallItems == 0 {
		return float64(p.settings.Batch)
	}
	return min(p.meanFullCallItems, float64(p.settings.Batch))
}

// updateItemsPerCall updates the average of itemsPerCall after a call was closed.
func (p *Pool) updateItemsPerCall(items int) {
	if p.waiting-p.held < p.settings.Batch {
		return
	}
	p.meanFullCallItems = p.itemsPerCall()
	p.meanFullCallItems += averageWeight * (float64(items) - p.meanFullCallItems)
}
