package pool

import (
	"cmp"
	"slices"
	"time"
)

// classFactor is the largest ratio between the values per item of two tasks of one class.
// Estimated values are within a factor of 1.8 of those given by operators
// (TestEstimateAgreesWithOperatorValues); within that ratio the due time is the better criterion.
const classFactor = 2

// sort orders the queue. Tasks that are in time go before late ones: in a burst, time
// spent on late tasks makes the others late too. Tasks in time are ordered by rank, then by
// value class, then by due time, the latest first. Within a class, those of workspaces over their share
// of a full pool go last.
func (p *Pool) sort(now time.Time) {
	p.keepsLate = p.forecasts(now)
	shortest := time.Duration(float64(p.callTime(p.settings.Batch)) * p.slowdown)
	for _, q := range p.queue {
		if now.Add(shortest).After(q.Due) {
			q.late = true
		}
	}
	p.classify()
	p.markOverShare(now)
	slices.SortFunc(p.queue, func(a, b *queuedTask) int {
		switch {
		case p.less(a, b):
			return -1
		case p.less(b, a):
			return 1
		default:
			return 0
		}
	})
	p.orderEarliestDueFirst(now)
	p.recordPassedOver()
}

// classify groups the tasks of each rank into classes of about the same value per item. A
// pool that can't do all tasks in time thus does those of the highest value per item
// (TestOverloadedPoolServesTheMostValue). It leaves the queue in its order, so that sorting it costs little
// when few tasks have been added: late tasks may wait in it for seconds.
func (p *Pool) classify() {
	p.byValue = append(p.byValue[:0], p.queue...)
	slices.SortFunc(p.byValue, func(a, b *queuedTask) int {
		if a.Rank != b.Rank {
			return cmp.Compare(a.Rank, b.Rank)
		}
		return cmp.Compare(b.valuePerItem(), a.valuePerItem())
	})
	class, rank, highest := 0, 0, 0.0
	for i, q := range p.byValue {
		if i == 0 || q.Rank != rank || q.valuePerItem()*classFactor < highest {
			class++
			rank, highest = q.Rank, q.valuePerItem()
		}
		q.class = class
	}
	clear(p.byValue)
}

// valuePerItem returns the value of the task divided by the number of its waiting items.
func (q *queuedTask) valuePerItem() float64 { return q.Value / float64(max(1, len(q.items))) }

// less reports whether a goes before b. The rest of a split task goes first. Of two tasks of a class that are in time, the one
// that is due later goes first: in the opposite order a burst leaves each task just in time
// at one pool and late at the next (TestBurstOnAChainLeavesMostOfItsCapacityInTime).
// Late tasks that are kept by the forecast go by their deadlines.
func (p *Pool) less(a, b *queuedTask) bool {
	switch {
	case a.split != b.split:
		return a.split
	case a.late != b.late:
		return b.late
	case a.late && p.keepsLate && !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	case a.late && a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.late && !a.Due.Equal(b.Due):
		return a.Due.Before(b.Due)
	case !a.late && a.class != b.class:
		return a.class < b.class
	case !a.late && a.overShare != b.overShare:
		return b.overShare
	case !a.Due.Equal(b.Due):
		return a.Due.After(b.Due)
	default:
		return a.Ticket < b.Ticket
	}
}
