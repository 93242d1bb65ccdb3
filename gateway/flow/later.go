package flow

import (
	"time"

	"acaciawinch/core/pool"
	"acaciawinch/gateway/pools"
)

// lateTail returns the time that must remain for the stages after a late one, without which its
// work would be lost. If pools keep late tasks for free capacity, the stage starts only while the later
// pools are not full, so that the time of their calls is enough. Otherwise it is
// pool.LateWaitFactor times their backlog, as their pools drop late tasks that have less time.
func (run *stageRun) lateTail(stage int) time.Duration {
	if run.LateWork {
		return pool.LateChainTime(run.progress.CriticalPathAfter(stage, run.fullCall))
	}
	return pool.LateWaitFactor * run.progress.CriticalPathAfter(stage, run.backlog)
}

// fullCall returns the configured duration of a full call of a stage.
func (run *stageRun) fullCall(stage int) time.Duration {
	service := run.table.Service(run.route.Stages[stage].Service)
	if service == nil || service.Pool == nil {
		return 0
	}
	return service.Pool.CallTime + time.Duration(service.Pool.Batch)*service.Pool.ItemTime
}

// later returns the newest estimates for the pools of the stages that follow a stage, one for each
// service.
func (run *stageRun) later(stage int) []pools.LaterWait {
	var list []pools.LaterWait
	seen := make(map[string]bool)
	for _, next := range run.progress.Following(stage) {
		service := run.route.Stages[next].Service
		if seen[service] {
			continue
		}
		seen[service] = true
		estimate := run.Dispatcher.Later(service)
		estimate.Shortest = run.shortestCall(service)
		list = append(list, estimate)
	}
	return list
}

// workspaceName returns the name of the request's workspace; empty if it has none.
func (rq *request) workspaceName() string {
	if rq.workspace == nil {
		return ""
	}
	return rq.workspace.Name
}
