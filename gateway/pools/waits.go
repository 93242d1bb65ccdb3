package pools

import "time"

// waits holds what owners last said of the waits at their pools. What was said gets
// shorter with its age, as a queue shrinks at least by the work done meanwhile: else a
// process that gives a pool nothing any more, as it was full, would never hear that
// it isn't. It is not safe for concurrent use.
type waits struct {
	ofClass map[classOfPart]said
	ofPart  map[Part]said
}

// classOfPart is a part of a pool as tasks of one class see it.
type classOfPart struct {
	Part
	class Class
}

// said is an estimate and when it came in.
type said struct {
	wait time.Duration
	at   time.Time
}

// left returns what remains of an estimate.
func (s said) left(now time.Time) time.Duration { return max(0, s.wait-now.Sub(s.at)) }

// newWaits returns waits that know nothing.
func newWaits() *waits {
	return &waits{ofClass: make(map[classOfPart]said), ofPart: make(map[Part]said)}
}

// learn records the estimates that came with a result.
func (w *waits) learn(part Part, class Class, result Result, now time.Time) {
	if result.Wait > 0 {
		w.ofClass[classOfPart{Part: part, class: class}] = said{wait: result.Wait, at: now}
	}
	if result.Backlog > 0 {
		w.ofPart[part] = said{wait: result.Backlog, at: now}
	}
}

// timely returns the wait of tasks of a class that can be in time; 0 if it is unknown.
func (w *waits) timely(part Part, class Class, now time.Time) time.Duration {
	return w.ofClass[classOfPart{Part: part, class: class}].left(now)
}

// backlog returns the wait behind all tasks; 0 if it is unknown.
func (w *waits) backlog(part Part, now time.Time) time.Duration { return w.ofPart[part].left(now) }
