package pool

import (
	"time"

	"acaciawinch/core/routes"
)

// queuedTask is a task with its waiting items. They stay together, because a request needs
// all of them.
type queuedTask struct {
	*Task
	items []*Item
	// class is the number of the task's value class, set by classify; the lowest goes first.
	class int
	// overShare is set if the task's workspace is over its share of a full pool.
	overShare bool
	// split is set once some of the items are in a call that the task was split to fill.
	split bool
	// held is set by holdLate if the task must wait for a later pool.
	held bool
	// keptAt is when the forecast first kept the task; zero if it did not.
	keptAt time.Time
	// started is set once items that were kept are in a call.
	started bool
}

// Add queues the items of a task.
func (p *Pool) Add(task *Task, count int) {
	for i := range count {
		p.push(&Item{Task: task, Index: i})
	}
}

// push queues an item.
func (p *Pool) push(item *Item) {
	q := p.queuedByTicket[item.Task.Ticket]
	if q == nil {
		q = &queuedTask{Task: item.Task}
		p.queuedByTicket[item.Task.Ticket] = q
		p.queue = append(p.queue, q)
	}
	q.items = append(q.items, item)
	p.waiting++
}

// Cancel drops the waiting items of a task.
func (p *Pool) Cancel(ticket Ticket) {
	if p.queuedByTicket[ticket] != nil {
		p.removeMatching(func(q *queuedTask) bool { return q.Ticket == ticket })
	}
}

// Expire drops and returns the waiting items that can't be done before the deadline of their
// request: those with too little time remaining, and late ones with too many others ahead of
// them. Late ones fail at once, while their clients can still retry in time. An evacuated
// pool drops all items.
func (p *Pool) Expire(now time.Time) []*Item {
	if p.Evacuated() {
		return p.removeMatching(func(*queuedTask) bool { return true })
	}
	p.sort(now)
	if p.keepsLate {
		return p.expireByForecast(now)
	}
	available, allLimited := p.availableAt(now), p.allLimited()
	ahead := 0
	return p.removeMatching(func(q *queuedTask) bool {
		if !p.meetsDeadline(q.Task, available) || allLimited && p.endsTooLate(q.Task, ahead, now) || !q.split && !q.Promised && q.late && q.Deadline.Sub(now) < time.Duration(LateWaitFactor*float64(p.waitBehind(ahead+p.reserved))) {
			return true
		}
		ahead += len(q.items)
		return false
	})
}

// expireByForecast drops and returns the waiting items that can't be done before the deadline of
// their request, and the late ones that neither the forecast nor LateWaitFactor keeps. The rest
// of a split task stays, since it goes first.
func (p *Pool) expireByForecast(now time.Time) []*Item {
	available, late := p.availableAt(now), p.lateQueue(now)
	return p.removeMatching(func(q *queuedTask) bool {
		if !q.late || q.split {
			if !p.meetsDeadline(q.Task, available) {
				return true
			}
			late.inTime += len(q.items)
			return false
		}
		if !p.meetsDeadline(q.Task, available) || p.isHeldInVain(q, now) || !q.Promised && !p.keeps(late, q.Task, len(q.items), now) {
			p.decide(LateRefused, q, late, now)
			return true
		}
		if q.keptAt.IsZero() {
			q.keptAt = now
			p.decide(LateKept, q, late, now)
		}
		if !q.held {
			late.ahead += len(q.items)
		}
		return false
	})
}

// CanFinish reports whether a call of a task ends before the deadline of its request if it
// starts as soon as an upstream accepts calls and, where all have limits, it has its turn.
func (p *Pool) CanFinish(t *Task, now time.Time) bool {
	return p.meetsDeadline(t, p.availableAt(now)) && !(p.allLimited() && p.endsTooLate(t, p.itemsAhead(t.Rank, t.Value), now))
}

// meetsDeadline reports whether a call that starts at the given time ends before the
// deadline of the task's request.
func (p *Pool) meetsDeadline(task *Task, starts time.Time) bool {
	return !starts.Add(p.settings.CallTime + p.settings.ItemTime).After(task.Deadline)
}

// availableAt returns when the first upstream accepts calls: now, unless all eligible
// upstreams are backed off.
func (p *Pool) availableAt(now time.Time) time.Time {
	return routes.AvailableAt(func(yield func(routes.Upstream) bool) {
		for _, s := range p.upstreams {
			if !yield(s.upstream) {
				return
			}
		}
	}, now)
}

// LateWaitFactor is how many times the estimated wait a late task must have remaining to stay
// in the queue, because tasks that are in time are still queued ahead of it. With a lower
// factor, tasks that wait and then fail cost clients more than the few gain that are served
// late.
const LateWaitFactor = 4

// removeMatching removes the tasks that match or have no items left, and returns their items.
func (p *Pool) removeMatching(match func(*queuedTask) bool) []*Item {
	var removed []*Item
	kept := p.queue[:0]
	for _, q := range p.queue {
		if len(q.items) > 0 && !match(q) {
			kept = append(kept, q)
			continue
		}
		removed = append(removed, q.items...)
		delete(p.queuedByTicket, q.Ticket)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.waiting -= len(removed)
	return removed
}

// dequeue removes and returns the first waiting items of a task. removeMatching removes the
// task itself once it has no waiting items.
func (p *Pool) dequeue(q *queuedTask, count int) []*Item {
	first := q.items[:count]
	q.items = q.items[count:]
	p.waiting -= count
	return first
}

// Waiting returns how many items are waiting.
func (p *Pool) Waiting() int { return p.waiting }

// WaitingOf returns how many items of a task are waiting.
func (p *Pool) WaitingOf(ticket Ticket) int {
	if q := p.queuedByTicket[ticket]; q != nil {
		return len(q.items)
	}
	return 0
}
