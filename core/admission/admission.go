// Package admission decides before the first stage of a request whether the request can be served.
// Without it, the first pools of a chain work for requests that a later pool then refuses.
//
// The package does no I/O and reads no clock.
package admission

import "time"

// MaxEstimateAge is the age up to which an estimate of a wait is used: in a burst, queues change within
// one or two calls of 200 to 400 ms.
const MaxEstimateAge = 500 * time.Millisecond

// Verdict is what can become of a request.
type Verdict string

// The verdicts.
const (
	// InTime: the request can meet its objective.
	InTime Verdict = "in_time"
	// OnlyLate: the request can end before its deadline, but not within its objective.
	OnlyLate Verdict = "only_late"
	// Never: the request can't end before its deadline.
	Never Verdict = "never"
)

// Forecast holds the expected times of a request. The times of its stages are those of its longest path.
type Forecast struct {
	// Waits is the time of all stages if their tasks are in time: the estimates of the waits, at least
	// the shortest calls.
	Waits time.Duration
	// Engine is the time allowed for the engine.
	Engine time.Duration
	// ToObjective and ToDeadline are the times until the objective and the deadline of the request.
	ToObjective, ToDeadline time.Duration
}

// Decide returns the verdict on a request. A task in time goes before late ones, so that a request which
// misses its deadline with the waits of tasks in time is refused by the pools as well. Backlogs are not
// part of a Forecast: many late tasks leave the queue before they are served, so that a backlog above
// the time that remains does not show that a request can't be served.
func Decide(f Forecast) Verdict {
	switch total := f.Waits + f.Engine; {
	case total > f.ToDeadline:
		return Never
	case total > f.ToObjective:
		return OnlyLate
	default:
		return InTime
	}
}
