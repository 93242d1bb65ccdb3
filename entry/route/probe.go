package route

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/wire/wirepb"
)

// Multiples of a probe's configured timeout. When the timeout passes, the decision
// continues without the probe and the upstream is suspected. While the zone responds
// slowly, the timeout grows up to slowZoneFactor times its base. The probe itself
// stays open up to lateFactor times the base: a late response ends the suspicion, so
// that a host that is only busy is not avoided for long.
const (
	slowZoneFactor = 2
	lateFactor     = 4
)

// farProbeAllowance is added to the timeout for an upstream of another region
// as long as the round trip to it has not been measured.
const farProbeAllowance = 200 * time.Millisecond

// longestTimeout returns the longest of the upstreams' probe timeouts.
func (r *Router) longestTimeout(upstreams []routing.Upstream) time.Duration {
	timeout := time.Duration(0)
	for _, upstream := range upstreams {
		timeout = max(timeout, r.timeout(upstream))
	}
	return timeout
}

// cachedResponses returns one element for each upstream of plan: the last response if
// plan permits its reuse, otherwise a result in which Replied is unset.
func (r *Router) cachedResponses(plan routing.ProbePlan) []routing.ProbeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	responses := make([]routing.ProbeResult, len(plan.Upstreams))
	for i, upstream := range plan.Upstreams {
		responses[i] = routing.ProbeResult{Upstream: upstream}
		if known, ok := r.table.Remembered(upstream.ID, now, plan.Age, plan.Uses); ok {
			responses[i] = known
		}
	}
	return responses
}

// startProbe probes one upstream in a new goroutine, which ends soon after the probe's
// timeout, and passes the response to done. It returns the timer of the timeout. The probe
// outlives ctx, so that a caller's cancellation is not mistaken for an unresponsive upstream.
func (r *Router) startProbe(ctx context.Context, need Need, upstream routing.Upstream, done func(routing.ProbeResult)) *probeTimer {
	ctx = context.WithoutCancel(ctx)
	timer := r.newTimer(upstream)
	go func() { done(r.probe(ctx, upstream, need, timer)) }()
	return timer
}

// baseTimeout returns the configured probe timeout plus twice the round-trip time to
// the upstream's zone.
func (r *Router) baseTimeout(upstream routing.Upstream) time.Duration {
	configured := time.Duration(r.opts.Settings.ProbeTimeoutMS) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	rtt := r.table.RTT(upstream.Zone)
	if rtt == 0 && upstream.Tier == routing.OtherRegion {
		return configured + farProbeAllowance
	}
	return configured + 2*rtt
}

// timeout returns the timeout of a probe, which depends on the distance to the
// upstream and on how slowly its zone responds at present.
func (r *Router) timeout(upstream routing.Upstream) time.Duration {
	base := r.baseTimeout(upstream)
	return max(base, min(r.slowResponseTime(upstream), slowZoneFactor*base))
}

// slowResponseTime returns the time in which a slow response from the upstream's zone
// arrives at present.
func (r *Router) slowResponseTime(upstream routing.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.ExpectedReplyTime(upstream.Zone)
}

// probe probes the sidecar of one upstream for a need and records the outcome.
func (r *Router) probe(ctx context.Context, upstream routing.Upstream, need Need, timer *probeTimer) routing.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, lateFactor*r.baseTimeout(upstream))
	defer cancel()
	request := &wirepb.ProbeRequest{
		Revision:   uint64(r.opts.Revision()),
		PrefixHash: need.PrefixHash,
		Workspace:  need.Workspace,
		Priority:   int32(need.Priority),
	}
	sent := r.opts.Now()
	r.metrics.sent.Inc(1)
	timer.begin(r.timeout(upstream))
	reply, err := r.opts.Prober.Probe(ctx, upstream.Addr, request)
	timer.finish()
	if err != nil {
		r.metrics.unanswered.Inc(1)
		r.recordSilence(upstream.ID, routing.SilentProbe)
		return routing.ProbeResult{Upstream: upstream, SentAt: sent}
	}
	r.metrics.answered.Inc(1)
	r.metrics.bytes.Inc(int64(proto.Size(request) + proto.Size(reply)))
	r.opts.NoteRevision(core.Revision(reply.GetRevision()), upstream.Addr)
	response := responseOf(upstream, reply, sent, r.opts.Now().Sub(sent))
	r.recordResponse(response, reply.GetLoad())
	return response
}

// recordTimeout records that a probe got no response within its timeout.
func (r *Router) recordTimeout(upstream core.UpstreamID) {
	r.metrics.late.Inc(1)
	r.recordSilence(upstream, routing.SilentProbe)
}

// recordResponse records the response to a probe.
func (r *Router) recordResponse(response routing.ProbeResult, load *wirepb.Load) {
	now := r.opts.Now()
	r.mu.Lock()
	recovered := r.table.RecordReply(response, now)
	suspects := r.table.SuspectedCount()
	if load != nil {
		r.latencies.Observe(response.Upstream.Service, response.Upstream.ID, reportOf(load, now))
	}
	r.mu.Unlock()
	if recovered {
		r.logRecovered(response.Upstream.ID, suspects)
	}
}

// recordSilence records that an upstream did not respond, to a probe or during an attempt.
func (r *Router) recordSilence(upstream core.UpstreamID, cause routing.Cause) {
	r.mu.Lock()
	suspicion, added := r.table.RecordSilence(upstream, cause, r.opts.Now(), r.random)
	suspects := r.table.SuspectedCount()
	r.mu.Unlock()
	if added {
		r.logSuspected(upstream, suspicion, suspects)
	}
}
