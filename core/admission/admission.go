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
	// Shortest is the time of all stages if no task waits, Waiting the time if each waits behind the
	// tasks in time of its pool.
	Shortest, Waiting time.Duration
	// Engine is the time allowed for the engine.
	Engine time.Duration
	// ToObjective and ToDeadline are the times until the objective and the deadline of the request.
	ToObjective, ToDeadline time.Duration
}

// Decide returns the verdict on a request. It refuses only what the pools would refuse too:
//
//   - A request that can be in time without waits is not refused for them. Pools serve the task that is
//     due last first, so that it may go before those that the waits are computed from.
//   - A request that can only be late waits behind all tasks in time. Late tasks do not count, as many
//     leave the queue before they are served.
func Decide(f Forecast) Verdict {
	switch {
	case f.Shortest+f.Engine > f.ToDeadline:
		return Never
	case f.Shortest+f.Engine <= f.ToObjective:
		return InTime
	case f.Waiting+f.Engine > f.ToDeadline:
		return Never
	default:
		return OnlyLate
	}
}

// StageTime returns the time of a stage whose task waits behind the tasks in time of its pool. The wait
// includes a full call; the shortest call takes its place, as the last call need not be full.
func StageTime(wait, fullCall, shortest time.Duration) time.Duration {
	return shortest + max(0, wait-fullCall)
}
