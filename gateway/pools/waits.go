package pools

import "time"

// waits holds the last estimates of the waits at pools, as their owners reported them.
// An estimate decreases with its age, since a queue shrinks at least by the work done
// meanwhile. Otherwise a process that sends a pool nothing because the pool was full would never
// learn that it no longer is. The type is not safe for concurrent use.
type waits struct {
	byClass map[partClass]estimate
	byPart  map[Part]estimate
	// byService holds the newest estimate of the wait behind all queued tasks of any part.
	byService map[string]estimate
}

// partClass identifies the tasks of one class at a part of a pool.
type partClass struct {
	Part
	class Class
}

// estimate is an estimated wait and when it was received.
type estimate struct {
	wait time.Duration
	at   time.Time
}

// remaining returns the wait less the estimate's age.
func (e estimate) remaining(now time.Time) time.Duration { return max(0, e.wait-now.Sub(e.at)) }

// newWaits returns waits without estimates.
func newWaits() *waits {
	return &waits{byClass: make(map[partClass]estimate), byPart: make(map[Part]estimate), byService: make(map[string]estimate)}
}

// record records the estimates that came with a result.
func (w *waits) record(part Part, class Class, result Result, now time.Time) {
	if result.Wait > 0 {
		w.byClass[partClass{Part: part, class: class}] = estimate{wait: result.Wait, at: now}
	}
	if result.Backlog > 0 {
		w.byPart[part] = estimate{wait: result.Backlog, at: now}
		w.byService[part.Service] = estimate{wait: result.Backlog, at: now}
	}
}

// inTime returns the wait of a task of a class that is in time; 0 if it is unknown.
func (w *waits) inTime(part Part, class Class, now time.Time) time.Duration {
	return w.byClass[partClass{Part: part, class: class}].remaining(now)
}

// backlog returns the wait behind all queued tasks; 0 if it is unknown.
func (w *waits) backlog(part Part, now time.Time) time.Duration { return w.byPart[part].remaining(now) }
