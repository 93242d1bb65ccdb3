package flow

import (
	"fmt"
	"time"

	"acaciawinch/core/admission"
	"acaciawinch/core/fault"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// refusedAtAdmission returns the refusal of a request whose pools can't serve it before its deadline; nil
// if they may serve it. It is checked before the stages, so that none runs in vain.
func (rq *request) refusedAtAdmission() error {
	if !rq.ReturnPlaces || len(rq.route.Stages) == 0 {
		return nil
	}
	forecast := rq.forecast(time.Now())
	if admission.Decide(forecast) != admission.Never {
		return nil
	}
	rq.recordNotAdmitted(forecast)
	expected := forecast.Shortest + forecast.Engine
	if expected <= forecast.ToDeadline {
		expected = forecast.Waiting + forecast.Engine
	}
	return fault.Wrap(fault.Unavailable, "stage.admit", rq.service, &noCapacity{
		reason: fmt.Sprintf("the stages and the upstream would take %d ms, %d ms remain", expected.Milliseconds(), forecast.ToDeadline.Milliseconds()),
		noRoom: true,
	})
}

// forecast returns the expected times of the request.
func (rq *request) forecast(now time.Time) admission.Forecast {
	return admission.Forecast{
		Shortest:    rq.shortestChain(),
		Waiting:     rq.longestPath(rq.waitingStage),
		Engine:      firstEventAllowance,
		ToObjective: rq.clientStarted.Add(rq.route.Objective).Sub(now),
		ToDeadline:  rq.startBy.Sub(now),
	}
}

// waitingStage returns the time of a stage behind the tasks in time of its pool.
func (rq *request) waitingStage(stage int) time.Duration {
	name := rq.route.Stages[stage].Service
	service := rq.table.Service(name)
	if service == nil || service.Pool == nil {
		return 0
	}
	wait := rq.Dispatcher.FreshWait(name, rq.class, admission.MaxEstimateAge)
	fullCall := service.Pool.CallTime + time.Duration(service.Pool.Batch)*service.Pool.ItemTime
	return admission.StageTime(wait, fullCall, rq.shortestCall(name))
}

// recordNotAdmitted logs and counts a request that is refused before its stages.
func (rq *request) recordNotAdmitted(f admission.Forecast) {
	var backlog time.Duration
	for _, stage := range rq.route.Stages {
		backlog = max(backlog, rq.Dispatcher.Backlog(stage.Service))
	}
	rq.Metrics.notAdmitted()
	rq.Logger.Event(event.RequestNotAdmitted, observe.Fields{"request": rq.hdr.ID, "route": rq.route.Name,
		"shortest_ms": f.Shortest.Milliseconds(), "waiting_ms": f.Waiting.Milliseconds(), "backlog_ms": backlog.Milliseconds(),
		"engine_ms": f.Engine.Milliseconds(), "to_objective_ms": f.ToObjective.Milliseconds(), "to_deadline_ms": f.ToDeadline.Milliseconds(),
		"max_age_ms": admission.MaxEstimateAge.Milliseconds()})
}
