package pool

import (
	"time"

	"acaciawinch/core/routes"
)

// group holds the waiting items of one task. They stay together, because a request needs
// all of them.
type group struct {
	*Task
	items []*Item
	// class is the number of the task's value class, set by classify; the lowest goes first.
	class int
}

// Add queues the items of a task.
func (p *Pool) Add(task *Task, count int) {
	for i := range count {
		p.push(&Item{Task: task, Index: i})
	}
}

// push queues an item.
func (p *Pool) push(item *Item) {
	g := p.groups[item.Task.Ticket]
	if g == nil {
		g = &group{Task: item.Task}
		p.groups[item.Task.Ticket] = g
		p.queue = append(p.queue, g)
	}
	g.items = append(g.items, item)
	p.waiting++
}

// Cancel drops the waiting items of a task.
func (p *Pool) Cancel(ticket Ticket) {
	if p.groups[ticket] != nil {
		p.removeMatching(func(g *group) bool { return g.Ticket == ticket })
	}
}

// Expire drops and returns the waiting items that can't be done before the deadline of their
// request: those with too little time remaining, and late ones with too many others ahead of
// them. Late ones fail at once, while their clients can still retry in time. An evacuated
// pool drops all items.
func (p *Pool) Expire(now time.Time) []*Item {
	if p.Evacuated() {
		return p.removeMatching(func(*group) bool { return true })
	}
	p.sort(now)
	available := p.availableAt(now)
	ahead := 0
	return p.removeMatching(func(g *group) bool {
		if !p.meetsDeadline(g.Task, available) || g.late && g.Deadline.Sub(now) < time.Duration(LateWaitFactor*float64(p.waitBehind(ahead))) {
			return true
		}
		ahead += len(g.items)
		return false
	})
}

// CanFinish reports whether a call of a task ends before the deadline of its request if it
// starts as soon as an upstream accepts calls.
func (p *Pool) CanFinish(t *Task, now time.Time) bool { return p.meetsDeadline(t, p.availableAt(now)) }

// meetsDeadline reports whether a call that starts at the given time ends before the
// deadline of the task's request.
func (p *Pool) meetsDeadline(task *Task, starts time.Time) bool {
	return !starts.Add(p.settings.CallTime + p.settings.ItemTime).After(task.Deadline)
}

// availableAt returns when the first upstream accepts calls: now, unless all eligible
// upstreams are backed off.
func (p *Pool) availableAt(now time.Time) time.Time {
	return routes.AvailableAt(func(yield func(routes.Upstream) bool) {
		for _, w := range p.workers {
			if !yield(w.upstream) {
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
func (p *Pool) removeMatching(match func(*group) bool) []*Item {
	var removed []*Item
	kept := p.queue[:0]
	for _, g := range p.queue {
		if len(g.items) > 0 && !match(g) {
			kept = append(kept, g)
			continue
		}
		removed = append(removed, g.items...)
		delete(p.groups, g.Ticket)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.waiting -= len(removed)
	return removed
}

// dequeue removes and returns the first items of a group. removeMatching removes the group
// itself once it is empty.
func (p *Pool) dequeue(g *group, count int) []*Item {
	first := g.items[:count]
	g.items = g.items[count:]
	p.waiting -= count
	return first
}

// Waiting returns how many items are waiting.
func (p *Pool) Waiting() int { return p.waiting }

// WaitingOf returns how many items of a task are waiting.
func (p *Pool) WaitingOf(ticket Ticket) int {
	if g := p.groups[ticket]; g != nil {
		return len(g.items)
	}
	return 0
}
