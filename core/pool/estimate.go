package pool

import "time"

// learnRate is the weight of the newest call in the moving averages: some five
// calls, two seconds of a busy upstream.
const learnRate = 0.2

// Limits of a call's patience, against its configured time. An upstream that is
// known to be slow gets more, so that a slow one still finishes what it began.
const (
	patienceFactor = 2.5
	slowPatience   = 2.0
	patienceSlack  = 300 * time.Millisecond
)

// patience returns how long a call of a number of items may take.
func (p *Pool) patience(w *worker, items int) time.Duration {
	factor := max(patienceFactor, slowPatience*w.slow)
	return time.Duration(factor*float64(p.callTime(items))) + patienceSlack
}

// callTime is the configured time of a call with a number of items.
func (p *Pool) callTime(items int) time.Duration {
	return p.settings.CallTime + time.Duration(items)*p.settings.ItemTime
}

// learn updates the averages of what calls take.
func (p *Pool) learn(w *worker, call *Call, now time.Time) {
	expected := p.callTime(len(call.Items))
	if expected <= 0 {
		return
	}
	ratio := float64(now.Sub(call.Began)) / float64(expected)
	w.slow += learnRate * (ratio - w.slow)
	p.slowdown += learnRate * (ratio - p.slowdown)
}

// Wait estimates how long a task of a rank and value that is queued now, and can be in
// time, waits until its call ends. Tasks that are late, of a lower rank or of much less value
// wait behind it and don't count: with them a burst would make the tasks of every earlier
// stage look late too, and the pool would end in serving late ones only.
func (p *Pool) Wait(rank int, value float64) time.Duration {
	ahead := 0
	for _, g := range p.queue {
		if !g.late && !g.waitsBehind(rank, value) {
			ahead += len(g.items)
		}
	}
	return p.after(ahead)
}

// waitsBehind tells whether a task lets one of a rank and value go first.
func (g *group) waitsBehind(rank int, value float64) bool {
	if g.Rank != rank {
		return g.Rank > rank
	}
	return g.Value*classFactor < value
}

// Backlog estimates how long a task waits that is queued behind all others.
func (p *Pool) Backlog() time.Duration { return p.after(p.waiting) }

// after estimates how long an item waits, until its call ends, that has a number of
// others ahead of it.
func (p *Pool) after(ahead int) time.Duration {
	usable := 0
	for _, w := range p.workers {
		if w.upstream.Stays() {
			usable++
		}
	}
	if usable == 0 || p.settings.Batch == 0 {
		return 0
	}
	items := p.itemsPerCall()
	full := float64(p.settings.CallTime+time.Duration(items*float64(p.settings.ItemTime))) * p.slowdown
	return time.Duration(full * (float64(ahead)/items/float64(usable) + 1))
}

// itemsPerCall returns how many items a call takes when more wait than one can take:
// the batch, or less where there is no room for their results.
func (p *Pool) itemsPerCall() float64 {
	if p.fullItems == 0 {
		return float64(p.settings.Batch)
	}
	return min(p.fullItems, float64(p.settings.Batch))
}

// learnFill updates the average of itemsPerCall after a call was closed.
func (p *Pool) learnFill(items int) {
	if p.waiting < p.settings.Batch {
		return
	}
	p.fullItems = p.itemsPerCall()
	p.fullItems += learnRate * (float64(items) - p.fullItems)
}
