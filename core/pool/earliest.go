package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// earliestDueShare is the share of the time until it is due that a task may wait behind those due before
	// it for the earliest to go first. A larger share would leave too little for the later stages of its
	// request.
	earliestDueShare = 0.25
	// shortCallShare is the share of that time that a full call takes at most. Where a queue is a few calls
	// long, the latest due go first in a burst (TestBurstOnAChainLeavesMostOfItsCapacityInTime).
	shortCallShare = earliestDueShare * earliestDueShare
)

// orderEarliestDueFirst lets the earliest due go first among those tasks in time of a class that all are done
// soon in that order. The load that it addresses is that of a pool which is busy all the time while its queue is
// short: if the latest due always go first, some tasks wait until they are late, although the whole queue
// takes a fraction of the time that they have (TestABusyPoolWithAShortQueueLeavesNoTaskBehind). It changes
// nothing where calls are not short against that time.
func (p *Pool) orderEarliestDueFirst(now time.Time) {
	if p.waiting <= p.settings.Batch {
		return // one call takes all of them
	}
	first := p.waitBehind(0)
	perItem := (p.waitBehind(p.settings.Batch) - first) / time.Duration(max(1, p.settings.Batch))
	if perItem <= 0 {
		return
	}
	ahead, afterSplit := 0, 0
	for afterSplit < len(p.queue) && p.queue[afterSplit].split {
		ahead += len(p.queue[afterSplit].items)
		afterSplit++
	}
	for from := afterSplit; from < len(p.queue) && !p.queue[from].late; {
		to, items := from, 0
		for ; to < len(p.queue) && !p.queue[to].late && p.queue[to].class == p.queue[from].class; to++ {
			items += len(p.queue[to].items)
		}
		class := p.queue[from:to]
		within := func(q *queuedTask) int {
			left := float64(q.Due.Sub(now))
			if float64(first) > shortCallShare*left {
				return -1
			}
			return int((time.Duration(earliestDueShare*left)-first)/perItem) - ahead
		}
		slices.SortFunc(class[:countEarliestDue(class, within)], func(a, b *queuedTask) int {
			return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Ticket, b.Ticket))
		})
		ahead += items
		from = to
	}
}

// countEarliestDue returns how many of the tasks of a class, which are in the order of their due times with the
// latest first, can all be done within their shares if the earliest of them goes first. The function within
// returns how many items can go before a task of which none is of an earlier class.
func countEarliestDue(class []*queuedTask, within func(*queuedTask) int) int {
	spare := 0 // how many more items can go before all tasks so far
	for i, q := range class {
		own := within(q)
		if own < 0 || i > 0 && spare < len(q.items) {
			return i
		}
		if i == 0 {
			spare = own
			continue
		}
		spare = min(spare-len(q.items), own)
	}
	return len(class)
}
