package flow

import (
	"time"

	"acaciawinch/core/pool"
)

// engineAllowance is taken off the time by which the last stage is due. It is the time
// from there to the first event of nine requests in ten; with much more most tasks of a chain of
// three stages count as late from the start.
const engineAllowance = 250 * time.Millisecond

// estimate returns how long a stage takes.
func (run *stageRun) estimate(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Asker.Wait(name, run.class), run.shortestCall(name))
}

// backlog returns how long a stage takes that is late, and so waits behind all others.
func (run *stageRun) backlog(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Asker.Backlog(name), run.shortestCall(name))
}

// shortestCall returns how long a call of one item takes at a pool.
func (run *stageRun) shortestCall(name string) time.Duration {
	service := run.table.Service(name)
	if service == nil || service.Pool == nil {
		return 0
	}
	return service.Pool.CallTime + service.Pool.ItemTime
}

// remaining returns how long a stage still takes.
func (run *stageRun) remaining(stage int) time.Duration {
	whole := run.estimate(stage)
	if at, started := run.startedAt[stage]; started {
		return max(0, whole-time.Since(at))
	}
	return whole
}

// lapseMargin is how long before its inputs lapse a stage must have read them: results
// are kept from the end of the call that made them, of which this process hears later.
const lapseMargin = 200 * time.Millisecond

// inputsLeft returns how long the inputs of a stage are still kept. A stage that waits
// longer would find them gone, and all stages would be done again.
func (run *stageRun) inputsLeft(stage int) time.Duration {
	left := run.route.Timeout
	for _, before := range run.route.Stages[stage].After {
		service := run.table.Service(run.route.Stages[before].Service)
		if service == nil || service.Pool == nil || run.asked.Pieces[before] == 0 {
			continue
		}
		left = min(left, service.Pool.KeepTime-lapseMargin-time.Since(run.doneAt[before]))
	}
	return left
}

// stageTimes are until when a stage must be done, counted from now.
type stageTimes struct {
	// due is for the request to be on time, remaining for it to be served at all.
	due, remaining time.Duration
}

// times returns the times of a stage that starts now. The stages after it wait among
// the timely tasks of their pools, or behind all others if this one is late already: then
// it needs as much time for them as their pools will ask of it, or its work is lost.
func (run *stageRun) times(stage int) stageTimes {
	now := time.Now()
	tail := run.progress.Tail(stage, run.estimate)
	due := run.since.Add(run.route.Objective - engineAllowance - tail).Sub(now)
	if due < run.estimate(stage) {
		tail = pool.Doubt * run.progress.Tail(stage, run.backlog)
	}
	return stageTimes{
		due:       due,
		remaining: min(run.startBy.Sub(now)-engineAllowance-tail, run.inputsLeft(stage)),
	}
}
