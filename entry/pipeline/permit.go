package pipeline

import (
	"time"

	"acaciawinch/core/request"
)

// permitPatience is how long an idempotent first stage is held back for the
// permit. A home of the same region answers within it; a first stage is not worth
// the round trip to another region, and is cancelled if the permit is refused.
const permitPatience = 10 * time.Millisecond

// awaitPermit tells the machine if the request may not run.
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

// permitted waits until a choice may be used, and tells whether it may. A check
// dispatches nothing and needs no permit.
func (f *flow) permitted(a request.Choose) bool {
	permit := f.req.Permit
	if permit == nil || a.Check {
		return true
	}
	var patience <-chan time.Time
	if a.Stage == 0 && !f.stages[0].NonIdempotent && len(f.stages) > 1 {
		timer := time.NewTimer(permitPatience)
		defer timer.Stop()
		patience = timer.C
	}
	select {
	case <-permit.Decided():
		return permit.Refusal() == nil
	case <-patience:
		return true
	case <-f.ctx.Done():
		return false
	}
}
