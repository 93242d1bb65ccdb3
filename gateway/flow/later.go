package flow

import "acaciawinch/gateway/pools"

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
