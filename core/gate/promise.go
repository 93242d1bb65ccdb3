package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// promiseSlack is the part of its own service time by which a waiting attempt
// must be able to start before its last moment: service times are estimates.
const promiseSlack = 0.25

// next takes the attempt to start out of the queue: the one whose turn it is, if
// then all others can still start in time, or else the one whose last moment is
// nearest. Returns nil if none waits.
//
// Admission promised each waiting attempt that it would make its deadline. What
// came later and went first may use the time that was left for that. The promises
// are weighed together, because several whose last moments lie close to each other
// need as many places, and places come free one by one.
func (g *Gate) next(now time.Duration) *record {
	if g.queue.size == 0 || g.options.FIFO {
		return g.queue.pop()
	}
	s := g.schedule(now)
	if s.keptAfter(g.queue.peek()) {
		return g.queue.pop()
	}
	nearest := s.waiting[0]
	g.queue.take(nearest)
	return nearest
}

// schedule is the waiting attempts in the order of their last moments to start,
// and the places at the upstream that they will take.
type schedule struct {
	now     time.Duration
	pace    pace
	waiting []*record
	// places holds when each place is free, counted from now.
	places durationHeap
}

// schedule returns the schedule of all that waits now.
func (g *Gate) schedule(now time.Duration) schedule {
	pace := g.pace(now)
	waiting := g.queue.all()
	slices.SortStableFunc(waiting, func(a, b *record) int {
		return cmp.Compare(pace.lastStart(a), pace.lastStart(b))
	})
	places := g.places(now, pace, max(1, g.upstream.capacity))
	return schedule{now: now, pace: pace, waiting: waiting, places: places}
}

// lastStart returns the last moment at which the attempt can start and likely
// make its deadline.
func (p pace) lastStart(r *record) time.Duration { return r.deadline - p.service(r.cost) }

// keptAfter tells whether all other waiting attempts can start in time, nearest
// last moment first, if first takes the next place.
func (s schedule) keptAfter(first *record) bool {
	s.places = slices.Clone(s.places)
	s.place(first)
	for _, r := range s.waiting {
		if r == first {
			continue
		}
		slack := time.Duration(promiseSlack * float64(s.pace.service(r.cost)))
		if s.place(r) > s.pace.lastStart(r)-slack {
			return false
		}
	}
	return true
}

// place gives r the place that is free first and returns when it starts.
func (s schedule) place(r *record) time.Duration {
	start := s.now + s.places[0]
	s.places[0] += s.pace.service(r.cost)
	heap.Fix(&s.places, 0)
	return start
}
