package pool

import (
	"time"

	"acaciawinch/core/routes"
)

// group is the waiting items of one task. They stay together, as none is of use alone.
type group struct {
	*Task
	items []*Item
	// class is the place of its class among those of the queue, as sort left it.
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
		p.drop(func(g *group) bool { return g.Ticket == ticket })
	}
}

// Expire drops and returns the waiting items that can't be made before their request
// ends: those for which no time is left, and late ones with too many others ahead of
// them. The latter are told at once, while their clients can still come back in time. An
// evacuated pool makes none.
func (p *Pool) Expire(now time.Time) []*Item {
	if p.Evacuated() {
		return p.drop(func(*group) bool { return true })
	}
	p.sort(now)
	opens := p.opens(now)
	ahead := 0
	return p.drop(func(g *group) bool {
		if !p.endsInTime(g.Task, opens) || g.late && g.Last.Sub(now) < time.Duration(Doubt*float64(p.after(ahead))) {
			return true
		}
		ahead += len(g.items)
		return false
	})
}

// CanEnd tells whether a call that begins as soon as an upstream takes one would end before the
// task's request does.
func (p *Pool) CanEnd(task *Task, now time.Time) bool { return p.endsInTime(task, p.opens(now)) }

// endsInTime tells whether a call that begins at a time would end before the task's request does.
func (p *Pool) endsInTime(task *Task, begins time.Time) bool {
	return !begins.Add(p.settings.CallTime + p.settings.ItemTime).After(task.Last)
}

// opens returns when the first upstream takes a call, which is now unless all that stay have asked
// for a pause.
func (p *Pool) opens(now time.Time) time.Time {
	return routes.Opens(func(yield func(routes.Upstream) bool) {
		for _, w := range p.workers {
			if !yield(w.upstream) {
				return
			}
		}
	}, now)
}

// Doubt is how many times the wait that the queue gives must be left to a late task:
// those that are in time come in ahead of it. With less, what is held until it fails costs
// clients more than the few gain that are served late.
const Doubt = 4

// drop removes the tasks that match, or that have no items left, and returns their items.
func (p *Pool) drop(match func(*group) bool) []*Item {
	var dropped []*Item
	kept := p.queue[:0]
	for _, g := range p.queue {
		if len(g.items) > 0 && !match(g) {
			kept = append(kept, g)
			continue
		}
		dropped = append(dropped, g.items...)
		delete(p.groups, g.Ticket)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.waiting -= len(dropped)
	return dropped
}

// take removes and returns the first items of a group, which drop forgets once it is
// empty.
func (p *Pool) take(g *group, count int) []*Item {
	taken := g.items[:count]
	g.items = g.items[count:]
	p.waiting -= count
	return taken
}

// Waiting returns how many items wait.
func (p *Pool) Waiting() int { return p.waiting }

// WaitingOf returns how many items of a task wait.
func (p *Pool) WaitingOf(ticket Ticket) int {
	if g := p.groups[ticket]; g != nil {
		return len(g.items)
	}
	return 0
}
