package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// startSlack is how long before its latest start time a waiting attempt must be able to
// start, as a share of its expected service time. The slack is needed because service
// times are estimates.
const startSlack = 0.25

// popNext removes and returns the attempt to start: the next in the order of the queue
// if all others could then still start in time, otherwise the most urgent one, whose
// latest start time comes first. It returns nil if no attempt waits.
//
// Each waiting attempt was admitted because it was expected to meet its deadline.
// Attempts that arrived later but are served first may use up the time that remained
// for it. All waiting attempts are checked together, because several with similar
// latest start times need as many slots, and slots become free one by one.
func (g *Gate) popNext(now time.Duration) *record {
	if g.queue.size == 0 || g.options.FIFO {
		return g.queue.pop()
	}
	s := g.schedule(now)
	if s.feasibleAfter(g.queue.peek()) {
		return g.queue.pop()
	}
	mostUrgent := s.waiting[0]
	g.queue.removeOutOfOrder(mostUrgent)
	return mostUrgent
}

// schedule is the waiting attempts in the order of their latest start times, and the
// slots at the upstream that they will take.
type schedule struct {
	now      time.Duration
	estimate latency
	waiting  []*record
	// slots holds the time from now until each slot is free.
	slots durationHeap
}

// schedule returns the schedule of all waiting attempts.
func (g *Gate) schedule(now time.Duration) schedule {
	estimate := g.estimateLatency(now)
	waiting := g.queue.all()
	slices.SortStableFunc(waiting, func(a, b *record) int {
		return cmp.Compare(estimate.latestStart(a), estimate.latestStart(b))
	})
	slots := g.slotFreeTimes(now, estimate, max(1, g.upstream.capacity))
	return schedule{now: now, estimate: estimate, waiting: waiting, slots: slots}
}

// latestStart returns the latest time at which the attempt can start and is still
// expected to meet its deadline.
func (l latency) latestStart(r *record) time.Duration { return r.deadline - l.serviceTime(r.cost) }

// feasibleAfter reports whether all other waiting attempts can start in time, in the
// order of their latest start times, if first takes the next free slot.
func (s schedule) feasibleAfter(first *record) bool {
	s.slots = slices.Clone(s.slots)
	s.assignSlot(first)
	for _, r := range s.waiting {
		if r == first {
			continue
		}
		slack := time.Duration(startSlack * float64(s.estimate.serviceTime(r.cost)))
		if s.assignSlot(r) > s.estimate.latestStart(r)-slack {
			return false
		}
	}
	return true
}

// assignSlot assigns r to the slot that is free first and returns its start time.
func (s schedule) assignSlot(r *record) time.Duration {
	start := s.now + s.slots[0]
	s.slots[0] += s.estimate.serviceTime(r.cost)
	heap.Fix(&s.slots, 0)
	return start
}
