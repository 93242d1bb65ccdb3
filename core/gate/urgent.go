package gate

import (
	"slices"
	"time"
)

// urgentPart is the part of its own service time by which a waiting attempt's
// last moment to start must be near for it to be urgent.
const urgentPart = 0.25

// next takes the attempt to start out of the queue: the most urgent one, or else
// the one whose turn it is. Returns nil if none waits.
//
// Admission promised each waiting attempt that it would make its deadline. What
// came later and went first may have broken the promise; passing it over once
// more would only turn seconds of waiting into a refusal.
func (g *Gate) next(now time.Duration) *record {
	if r := g.urgent(now); r != nil {
		g.queue.take(r)
		return r
	}
	return g.queue.pop()
}

// urgent returns the waiting attempt whose last moment to start is nearest, if
// that is near, or nil.
func (g *Gate) urgent(now time.Duration) *record {
	if g.options.FIFO {
		return nil
	}
	pace := g.pace(now)
	var first *record
	var least time.Duration
	for _, r := range g.queue.all() {
		service := pace.service(r.cost)
		slack := r.deadline - now - service
		near := slack <= time.Duration(urgentPart*float64(service))
		if near && (first == nil || slack < least) {
			first, least = r, slack
		}
	}
	return first
}

// take removes a waiting attempt out of its turn and charges its flow for it, so
// that its workspace gets no more than its share.
func (q *queue) take(r *record) {
	c := q.class(r.priority)
	f := c.find(r.workspace)
	at := slices.Index(f.waiting, r)
	f.waiting = slices.Delete(f.waiting, at, at+1)
	f.finish = f.start + r.cost/float64(r.weight)
	f.start = f.finish
	c.prune()
	q.size--
}
