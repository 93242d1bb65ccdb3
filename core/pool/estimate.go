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

// Wait estimates how long an item that is queued last waits until its call ends.
func (p *Pool) Wait() time.Duration {
	usable := 0
	for _, w := range p.workers {
		if !w.upstream.Leaving {
			usable++
		}
	}
	if usable == 0 || p.settings.Batch == 0 {
		return 0
	}
	full := float64(p.callTime(p.settings.Batch)) * p.slowdown
	calls := float64(len(p.queue)) / float64(p.settings.Batch) / float64(usable)
	return time.Duration(full * (calls + 1))
}
