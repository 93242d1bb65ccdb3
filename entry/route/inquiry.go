package route

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/routing"
)

// Bounds of the time for which a decision waits for further responses after the
// first usable one. Within them it waits for the current response time of the
// zone. An unreachable upstream must not cost each decision a whole timeout, and on
// busy hosts the first upstream to respond is not always the best.
const (
	minLinger = 5 * time.Millisecond
	maxLinger = 25 * time.Millisecond
	// lingerDivisor sets the share of the wait at the first usable upstream for which a decision
	// waits in any case: another upstream may save all of that wait.
	lingerDivisor = 10
)

// maxOpenProbes bounds the open probes of one decision. No policy comes near it.
const maxOpenProbes = 64

// indexedResponse is a response and its index in probeSet.responses.
type indexedResponse struct {
	index    int
	response routing.ProbeResult
}

// probeSet collects the responses of upstreams for one decision, over all of its
// steps.
type probeSet struct {
	router *Router
	need   Need
	// responses has one element for each queried upstream, in the order of the
	// queries. Until an upstream responds, Replied is unset in its element.
	responses []routing.ProbeResult
	// replies has capacity for all open probes, so that no sender blocks.
	replies chan indexedResponse
	// open counts the probes without a reply so far.
	open int
}

// newProbeSet returns a probeSet without responses.
func newProbeSet(router *Router, need Need) *probeSet {
	return &probeSet{router: router, need: need, replies: make(chan indexedResponse, maxOpenProbes)}
}

// run starts the probes that a policy requests and waits for at most the duration
// of one step. Later responses count in the next step.
func (q *probeSet) run(ctx context.Context, plan routing.ProbePlan) {
	for _, upstream := range plan.Background {
		q.router.startProbe(ctx, q.need, upstream, func(routing.ProbeResult) {})
	}
	known := false
	var started []*probeTimer
	for _, response := range q.router.cachedResponses(plan) {
		known = known || response.Replied
		if timer := q.add(ctx, response); timer != nil {
			started = append(started, timer)
		}
	}
	if known {
		return
	}
	for _, timer := range started {
		timer.awaitBegin(ctx)
	}
	stepTimer := time.NewTimer(q.router.longestTimeout(plan.Upstreams))
	defer stepTimer.Stop()
	if q.await(ctx, stepTimer.C) {
		// The probes' own timers may fire late on a busy host, and the next decision would
		// then probe these upstreams again.
		for _, timer := range started {
			timer.expire()
		}
	}
}

// add adds a cached response, or starts a probe if there is none. It returns the timer of that
// probe, nil if no probe was started.
func (q *probeSet) add(ctx context.Context, response routing.ProbeResult) *probeTimer {
	index := len(q.responses)
	q.responses = append(q.responses, response)
	if response.Replied || q.open == maxOpenProbes {
		return nil
	}
	q.open++
	return q.router.startProbe(ctx, q.need, response.Upstream, func(received routing.ProbeResult) {
		q.replies <- indexedResponse{index: index, response: received}
	})
}

// answered reports whether any upstream has responded.
func (q *probeSet) answered() bool {
	return slices.ContainsFunc(q.responses, func(r routing.ProbeResult) bool { return r.Replied })
}

// await collects responses until all have arrived, the linger time after the first
// usable one has passed, timeout fires (never if nil), or ctx ends. It reports
// whether timeout fired.
func (q *probeSet) await(ctx context.Context, timeout <-chan time.Time) bool {
	defer q.collectArrived() // a response that is there counts, also if a timer fired at the same time
	query := queryOf(q.need, 0)
	var linger <-chan time.Time
	for q.open > 0 {
		select {
		case reply := <-q.replies:
			q.collect(reply)
			if linger == nil && query.Obstacle(reply.response) == "" {
				timer := time.NewTimer(q.router.lingerTime(reply.response))
				defer timer.Stop()
				linger = timer.C
			}
		case <-linger:
			return false
		case <-timeout:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// collect records a response.
func (q *probeSet) collect(reply indexedResponse) {
	q.open--
	q.responses[reply.index] = reply.response
}

// collectArrived records the responses that have arrived, without waiting for others.
func (q *probeSet) collectArrived() {
	for {
		select {
		case reply := <-q.replies:
			q.collect(reply)
		default:
			return
		}
	}
}

// lingerTime returns how long to wait for other responses after the first usable one.
func (r *Router) lingerTime(first routing.ProbeResult) time.Duration {
	usual := min(maxLinger, max(minLinger, r.slowResponseTime(first.Upstream)))
	return max(usual, first.Wait()/lingerDivisor)
}
