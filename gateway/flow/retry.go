package flow

import (
	"errors"
	"net/http"
	"time"

	"acaciawinch/core/pool"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// mayRetry reports whether the request may be sent again after a send that failed with
// err. It withdraws the retry from the budget of the service, unless nothing was sent.
func (rq *request) mayRetry(err error) bool {
	if rq.ctx.Err() != nil {
		return false
	}
	var f *sendFailure
	if !errors.As(err, &f) {
		return false
	}
	if f.mayHaveRun && (rq.route.RetryPolicy == routes.AtMostOnce || rq.headSent && !rq.canResume()) {
		return false
	}
	if f.unsent && wasRefused(f) {
		return true
	}
	if f.unsent {
		return rq.mayReachAnother()
	}
	if f.replaced {
		// Engines that crashed and restarted under new IDs reject requests for their old IDs
		// until discovery drops these. Giving up would lose the results of all stages.
		return rq.mayReachAnother() && rq.withdraw()
	}
	return rq.sends < rq.route.MaxAttempts && (f.withdrawn || rq.withdraw())
}

// withdraw withdraws a retry from the budget of the request's service. Only a part of the budget is for
// streams that may be complete: the remainder is for requests that have certainly failed.
func (rq *request) withdraw() bool {
	if rq.doubtful != nil {
		return rq.withdrawSpareRetry(rq.service, time.Now())
	}
	return rq.withdrawRetry(rq.service, time.Now())
}

// canResume reports whether the response that the client has a part of may go on at another upstream.
// Events without an ID that follow the last one with an ID would come again.
func (rq *request) canResume() bool {
	return rq.isStream && !rq.isPastLast && rq.route.RetryPolicy == routes.Resumable
}

// maxUnreached bounds the upstreams that are tried for one request without reaching them, because
// they don't respond or were replaced by others. It does not count those that refuse the connection:
// that takes no time, and discovery still lists for seconds all that have ended together.
const maxUnreached = 4

// mayReachAnother counts an upstream that the request did not reach, and reports whether it may be sent
// to another one.
func (rq *request) mayReachAnother() bool {
	rq.unreached++
	return rq.unreached < maxUnreached
}

// giveUp ends a request that can't be served. It refuses the request, or closes the client's
// connection if part of a response was already sent. A stream that may be complete is ended, if its
// head has not promised to mark the end.
func (rq *request) giveUp(err error) {
	if rq.wasBrokenOff {
		rq.Guard.AwaitPublished(rq.ctx, rq.fingerprint)
	}
	took := time.Since(rq.started)
	switch {
	case rq.r.Context().Err() != nil:
		rq.Metrics.requestEnded("left", took)
		rq.Logger.Event(event.GatewayLeft, observe.Fields{"request": rq.hdr.ID, "route": rq.route.Name,
			"step": stepOf(err), "duration_us": took.Microseconds()})
		panic(http.ErrAbortHandler)
	case rq.doubtful != nil && rq.endsWithConnection:
		rq.endInDoubt(*rq.doubtful)
	case rq.headSent:
		rq.breakOff(err)
	case !rq.mayHaveRun:
		rq.refuse(http.StatusServiceUnavailable, stepOf(err), err.Error(), rq.retryAfter(err))
	case rq.ctx.Err() != nil:
		rq.refuse(http.StatusGatewayTimeout, stepOf(err), err.Error(), 0)
	default:
		rq.refuse(http.StatusBadGateway, stepOf(err), err.Error(), 0)
	}
}

// endInDoubt ends a stream that may be complete, as its upstream did.
func (rq *request) endInDoubt(answer passedOn) {
	if err := rq.endInOrder(); err != nil {
		rq.breakOff(err)
	}
	rq.recordAnswer(answer)
}

// breakOff closes the client's connection within a response. It panics to abort the request, so it does
// not return.
func (rq *request) breakOff(err error) {
	took := time.Since(rq.started)
	rq.Metrics.requestEnded("broken", took)
	rq.Logger.Warn(event.GatewayBroken, observe.Fields{"request": rq.hdr.ID, "route": rq.route.Name,
		"upstream": last(rq.tried), "events": rq.events, "error": err.Error(), "duration_us": took.Microseconds()})
	panic(http.ErrAbortHandler)
}

// retryAfter returns the Retry-After value for a request that failed with err and did not run.
func (rq *request) retryAfter(err error) time.Duration {
	var refusal *quarantine.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	var limited *ratelimit.Refusal
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	estimate := rq.estimateRetryAfter()
	var lacking *noCapacity
	if rq.ReturnPlaces && errors.As(err, &lacking) {
		return rq.comeBackAfter(lacking, estimate)
	}
	return estimate
}

// estimateRetryAfter estimates how long it takes until a request that found no capacity can be
// served: pool.LateWaitFactor times the longest backlog of the pools on its route, which is also
// the time that must remain for a late task. By then the present backlog, and what is queued ahead
// of the request meanwhile, have been processed. With only one times the backlog, clients come back
// during the same burst and are refused again.
func (rq *request) estimateRetryAfter() time.Duration {
	now := time.Now()
	longest := max(retryAfterBusy, rq.availableAt(rq.service, now).Sub(now))
	for _, stage := range rq.route.Stages {
		longest = max(longest, pool.LateWaitFactor*rq.Dispatcher.Backlog(stage.Service))
	}
	return longest
}
