package flow

import (
	"time"
)

// firstEventAllowance is the time between the end of the last stage and the first event, by
// which the last stage is due earlier. Nine of ten requests get their first event within it; with
// much more, most tasks of a chain of three stages would count as late from the start.
const firstEventAllowance = 250 * time.Millisecond

// estimate returns the expected duration of a stage that can end in time, that is, before it is
// due.
func (run *stageRun) estimate(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Dispatcher.Wait(name, run.class), run.shortestCall(name))
}

// backlog returns the expected duration of a stage that is late, and so waits behind all others.
func (run *stageRun) backlog(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Dispatcher.Backlog(name), run.shortestCall(name))
}

// shortestCall returns the duration of a call with one item at the pool with a name.
func (rq *request) shortestCall(name string) time.Duration {
	service := rq.table.Service(name)
	if service == nil || service.Pool == nil {
		return 0
	}
	return service.Pool.CallTime + service.Pool.ItemTime
}

// remaining returns the expected time until a stage ends, whether it has started or not.
func (run *stageRun) remaining(stage int) time.Duration {
	total := run.estimate(stage)
	if at, started := run.startedAt[stage]; started {
		return max(0, total-time.Since(at))
	}
	return total
}

// expiryMargin is how long before its inputs expire a stage must have read them. The time for which
// results are kept starts at the end of the call that made them, and this process learns of that
// end later.
const expiryMargin = 200 * time.Millisecond

// inputsRemaining returns how long the inputs of a stage are still kept. A stage that waits
// longer would find them expired, and all stages would have to run again.
func (run *stageRun) inputsRemaining(stage int) time.Duration {
	kept := run.route.Timeout
	for _, before := range run.route.Stages[stage].After {
		service := run.table.Service(run.route.Stages[before].Service)
		if service == nil || service.Pool == nil || run.hdr.Items[before] == 0 {
			continue
		}
		kept = min(kept, service.Pool.KeepTime-expiryMargin-time.Since(run.doneAt[before]))
	}
	return kept
}

// stageTimes are the times, counted from now, within which a stage must end.
type stageTimes struct {
	// due is the time within which the stage must end for the request to meet its latency
	// objective, remaining the time within which it must end for the request to be served at all.
	due, remaining time.Duration
}

// times returns the times of a stage that starts now. The stages after it wait among the tasks of
// their pools that are in time. If this stage is already late, those after it wait behind all other
// tasks, and lateTail must remain for them.
func (run *stageRun) times(stage int) stageTimes {
	now := time.Now()
	tail := run.progress.CriticalPathAfter(stage, run.estimate)
	due := run.clientStarted.Add(run.route.Objective - firstEventAllowance - tail).Sub(now)
	if due < run.estimate(stage) {
		tail = run.lateTail(stage)
	}
	return stageTimes{
		due:       due,
		remaining: min(run.startBy.Sub(now)-firstEventAllowance-tail, run.inputsRemaining(stage)),
	}
}
