package pipeline

import (
	"time"

	"acaciawinch/core/request"
)

// maxPermitWait is how long an idempotent first stage of several waits for the
// permit. A permit's home in the same region responds within this time. A first
// stage costs too little to wait for a round trip to another region; it is cancelled
// if the permit is refused later.
const maxPermitWait = 10 * time.Millisecond

// awaitPermit waits for the permit's decision and posts a refusal to the machine.
func (f *flow) awaitPermit() {
	permit := f.req.Permit
	if permit == nil {
		return
	}
	select {
	case <-permit.Decided():
	case <-f.ctx.Done():
		return
	}
	if refusal := permit.Refusal(); refusal != nil {
		f.postEvent(request.Denied{RetryAfter: refusal.RetryAfter, Detail: refusal.Detail})
	}
}

// waitUntilPermitted waits until it is known whether a choice may be used, and
// reports whether it may. A check dispatches nothing and needs no permit.
func (f *flow) waitUntilPermitted(a request.Choose) bool {
	permit := f.req.Permit
	if permit == nil || a.Check {
		return true
	}
	var expired <-chan time.Time
	if a.Stage == 0 && !f.stages[0].NonIdempotent && len(f.stages) > 1 {
		timer := time.NewTimer(maxPermitWait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-permit.Decided():
		return permit.Refusal() == nil
	case <-expired:
		return true
	case <-f.ctx.Done():
		return false
	}
}
