package flow

import (
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/core/stages"
)

// noteKept notes until when the results of the request's stages are kept at least, at its first send.
func (rq *request) noteKept() {
	if rq.results == nil || !rq.results.keptUntil.IsZero() {
		return
	}
	kept := rq.deadline
	for stage, spec := range rq.route.Stages {
		service := rq.table.Service(spec.Service)
		if service == nil || service.Pool == nil || rq.hdr.Items[stage] == 0 || !rq.results.progress.IsLast(stage) {
			continue
		}
		if until := time.Now().Add(service.Pool.KeepTime - expiryMargin); until.Before(kept) {
			kept = until
		}
	}
	rq.results.keptUntil = kept
}

// stagesAgain returns how long the stages of the request take if it is sent again, 0 if it has no stages or their
// results are still kept. Results that expire before another upstream has read them count as lost.
func (rq *request) stagesAgain(now time.Time) time.Duration {
	if rq.results == nil || !rq.results.isFreed() && now.Add(readAllowance).Before(rq.results.keptUntil) {
		return 0
	}
	run := &stageRun{request: rq, progress: stages.New(rq.route.Stages, rq.hdr.Items)}
	return run.progress.Remaining(run.remaining)
}

// dropExpired frees the results of the stages if they expire before another upstream has read them, so that the
// stages run again at once and not after the next upstream has missed an input.
func (rq *request) dropExpired() {
	if rq.results != nil && rq.stagesAgain(time.Now()) > 0 {
		rq.results.free()
	}
}

// keepsResults reports whether the results that the engine reads are kept until its first event, since the request
// may be sent again.
func (rq *request) keepsResults() bool {
	if !rq.RepeatSilent || rq.route.RetryPolicy == routes.AtMostOnce || rq.sends+1 >= rq.route.MaxAttempts {
		return false
	}
	for stage, spec := range rq.route.Stages {
		if rq.hdr.Items[stage] == 0 || !rq.results.progress.IsLast(stage) {
			continue
		}
		service := rq.table.Service(spec.Service)
		if service == nil || service.Pool == nil || !hasRoomToKeep(*service.Pool, spec.ResultBytes) {
			return false
		}
	}
	return true
}

// hasRoomToKeep reports whether the upstreams of a pool have room for results that are kept until an engine's first
// event. An upstream that works at its full rate has reserved the room of its running calls, and keeps what it made in
// the time until they are read and the first event comes. If both fit, kept results never delay a call, whatever the
// load.
func hasRoomToKeep(pool routes.Pool, resultBytes int64) bool {
	calls := max(1, pool.Slots)
	running := float64(int64(calls*pool.Batch) * resultBytes)
	callTime := pool.CallTime + time.Duration(pool.Batch)*pool.ItemTime
	if callTime <= 0 {
		return false
	}
	kept := running * float64(readAllowance+firstEventAllowance) / float64(callTime)
	return running+kept <= float64(pool.RoomBytes)
}
