package pool

import (
	"time"

	"acaciawinch/core/fairshare"
)

// ShareBetweenWorkspaces makes a full pool serve the workspaces within their share before those above it.
func (p *Pool) ShareBetweenWorkspaces() {
	if p.shares == nil {
		p.shares = fairshare.New()
	}
}

// isFull reports whether more than one full call of items waits for each usable upstream. With fewer,
// all tasks that are waiting now go into the next calls, and their order hardly matters.
func (p *Pool) isFull(now time.Time) bool {
	usable := 0
	for _, s := range p.upstreams {
		if s.upstream.TakesWork(now) && !now.Before(s.avoidUntil) {
			usable++
		}
	}
	return usable > 0 && p.waiting > usable*p.settings.Batch
}

// markOverShare marks the tasks in time whose workspaces are over their share of a full pool.
func (p *Pool) markOverShare(now time.Time) {
	if p.shares == nil {
		return
	}
	full := p.isFull(now)
	for _, q := range p.queue {
		q.overShare = false
		if full {
			p.shares.Waiting(q.Workspace, now)
		}
	}
	if !full {
		return
	}
	for _, q := range p.queue {
		q.overShare = !q.late && p.shares.OverShare(q.Workspace, now)
	}
}

// recordServed counts the items of a call for the shares of their workspaces.
func (p *Pool) recordServed(call *Call) {
	if p.shares == nil {
		return
	}
	for _, item := range call.Items {
		p.shares.Served(item.Task.Workspace, 1, call.StartedAt)
	}
}

// recordPassedOver records the tasks that would go before another one of their class if their
// workspaces were not over their shares. The queue must be sorted.
func (p *Pool) recordPassedOver() {
	if p.shares == nil {
		return
	}
	class := 0
	var earliest time.Time // due time of the last task of the class that is within its share
	for _, q := range p.queue {
		if q.late || q.split {
			continue // their order does not depend on shares
		}
		if q.class != class {
			class, earliest = q.class, time.Time{}
		}
		switch {
		case !q.overShare:
			earliest = q.Due
		case !earliest.IsZero() && q.Due.After(earliest) && !q.passedOver:
			q.passedOver = true
			p.passedOver = append(p.passedOver, q.Ticket)
		}
	}
}

// TakePassedOver returns the tasks that went behind others because of their workspaces' shares since
// the last call. Each task is returned once.
func (p *Pool) TakePassedOver() []Ticket {
	taken := p.passedOver
	p.passedOver = nil
	return taken
}
