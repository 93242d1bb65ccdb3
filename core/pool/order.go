package pool

import (
	"sort"
	"time"
)

// classFactor is the largest ratio between the values per item of two tasks of one class.
// Estimated values are within a factor of 1.8 of those given by operators
// (TestEstimateAgreesWithOperatorValues); within that ratio the due time is the better criterion.
const classFactor = 2

// sort orders the queue. Tasks that are in time go before late ones: in a burst, time
// spent on late tasks makes the others late too. Tasks in time are ordered by rank, then by
// value class, then by due time, the latest first.
func (p *Pool) sort(now time.Time) {
	shortest := time.Duration(float64(p.callTime(p.settings.Batch)) * p.slowdown)
	for _, q := range p.queue {
		if now.Add(shortest).After(q.Due) {
			q.late = true
		}
	}
	p.classify()
	sort.SliceStable(p.queue, func(i, j int) bool { return less(p.queue[i], p.queue[j]) })
	p.orderUnhurried(now)
}

// classify groups the tasks of each rank into classes of about the same value per item. A
// pool that can't do all tasks in time thus does those of the highest value per item
// (TestOverloadedPoolServesTheMostValue).
func (p *Pool) classify() {
	sort.SliceStable(p.queue, func(i, j int) bool {
		a, b := p.queue[i], p.queue[j]
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.valuePerItem() > b.valuePerItem()
	})
	class, rank, highest := 0, 0, 0.0
	for i, q := range p.queue {
		if i == 0 || q.Rank != rank || q.valuePerItem()*classFactor < highest {
			class++
			rank, highest = q.Rank, q.valuePerItem()
		}
		q.class = class
	}
}

// valuePerItem returns the value of the task divided by the number of its waiting items.
func (q *queuedTask) valuePerItem() float64 { return q.Value / float64(max(1, len(q.items))) }

// less reports whether a goes before b. Of two tasks of a class that are in time, the one
// that is due later goes first: in the opposite order a burst leaves each task just in time
// at one pool and late at the next (TestBurstOnAChainLeavesMostOfItsCapacityInTime).
func less(a, b *queuedTask) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.late && a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.late && !a.Due.Equal(b.Due):
		return a.Due.Before(b.Due)
	case !a.late && a.class != b.class:
		return a.class < b.class
	case !a.Due.Equal(b.Due):
		return a.Due.After(b.Due)
	default:
		return a.Ticket < b.Ticket
	}
}
