package route

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/wire/wirepb"
)

// Factors of a probe's configured timeout. When its timeout passes, the decision
// goes on without it and the upstream is suspected. The timeout is longer while
// the zone's answers are slow, up to patientFactor. The probe itself goes on up
// to lateFactor: an answer that still comes takes the suspicion back, so that a
// host which is merely busy is not avoided for long.
const (
	patientFactor = 2
	lateFactor    = 4
)

// farProbeAllowance is added to the timeout for an upstream of another region
// to which no distance is measured yet.
const farProbeAllowance = 200 * time.Millisecond

// longest returns the longest of the timeouts of some upstreams.
func (r *Router) longest(upstreams []routing.Upstream) time.Duration {
	timeout := time.Duration(0)
	for _, upstream := range upstreams {
		timeout = max(timeout, r.timeout(upstream))
	}
	return timeout
}

// remembered returns one answer for each upstream of ask: what is remembered of
// it if ask allows that, else an unanswered one.
func (r *Router) remembered(ask routing.Ask) []routing.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	answers := make([]routing.Answer, len(ask.Upstreams))
	for i, upstream := range ask.Upstreams {
		answers[i] = routing.Answer{Upstream: upstream}
		if known, ok := r.table.Remembered(upstream.ID, now, ask.Age, ask.Uses); ok {
			answers[i] = known
		}
	}
	return answers
}

// start probes one upstream in a goroutine of its own, which ends soon after the
// probe's timeout, and hands on the answer. It returns the watch over the timeout, which
// runs from now on, however late the goroutine begins. The probe outlives ctx, so that a
// caller who gives up doesn't make the upstream look silent.
func (r *Router) start(ctx context.Context, need Need, upstream routing.Upstream, done func(routing.Answer)) *watch {
	ctx = context.WithoutCancel(ctx)
	watch := r.watch(upstream)
	go func() { done(r.probe(ctx, upstream, need, watch)) }()
	return watch
}

// base returns the configured timeout of a probe and twice the way there.
func (r *Router) base(upstream routing.Upstream) time.Duration {
	configured := time.Duration(r.opts.Settings.ProbeTimeoutMS) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	rtt := r.table.RTT(upstream.Zone)
	if rtt == 0 && upstream.Tier == routing.OtherRegion {
		return configured + farProbeAllowance
	}
	return configured + 2*rtt
}

// timeout bounds a probe by the way to the upstream and the load there.
func (r *Router) timeout(upstream routing.Upstream) time.Duration {
	base := r.base(upstream)
	return max(base, min(r.patience(upstream), patientFactor*base))
}

// patience returns how long an answer from the upstream's zone may well take.
func (r *Router) patience(upstream routing.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Patience(upstream.Zone)
}

// probe asks one upstream's side about a need and keeps what came of it.
func (r *Router) probe(ctx context.Context, upstream routing.Upstream, need Need, watch *watch) routing.Answer {
	ctx, cancel := context.WithTimeout(ctx, lateFactor*r.base(upstream))
	defer cancel()
	request := &wirepb.ProbeRequest{
		Revision:   uint64(r.opts.Revision()),
		PrefixHash: need.PrefixHash,
		Workspace:  need.Workspace,
		Priority:   int32(need.Priority),
	}
	sent := r.opts.Now()
	r.metrics.sent.Inc(1)
	reply, err := r.opts.Prober.Probe(ctx, upstream.Addr, request)
	watch.end()
	if err != nil {
		r.metrics.unanswered.Inc(1)
		r.silent(upstream.ID, routing.SilentProbe)
		return routing.Answer{Upstream: upstream, SentAt: sent}
	}
	r.metrics.answered.Inc(1)
	r.metrics.bytes.Inc(int64(proto.Size(request) + proto.Size(reply)))
	r.opts.NoteRevision(core.Revision(reply.GetRevision()), upstream.Addr)
	answer := answerOf(upstream, reply, sent, r.opts.Now().Sub(sent))
	r.answered(answer, reply.GetLoad())
	return answer
}

// late keeps that a probe was not answered within its timeout.
func (r *Router) late(upstream core.UpstreamID) {
	r.metrics.late.Inc(1)
	r.silent(upstream, routing.SilentProbe)
}

// answered keeps an answer.
func (r *Router) answered(answer routing.Answer, load *wirepb.Load) {
	now := r.opts.Now()
	r.mu.Lock()
	recovered := r.table.Answered(answer, now)
	suspects := r.table.SuspectedCount()
	if load != nil {
		r.latencies.Observe(answer.Upstream.Service, answer.Upstream.ID, reportOf(load, now))
	}
	r.mu.Unlock()
	if recovered {
		r.recovered(answer.Upstream.ID, suspects)
	}
}

// silent keeps that an upstream did not answer.
func (r *Router) silent(upstream core.UpstreamID, cause routing.Cause) {
	r.mu.Lock()
	suspicion, struck := r.table.Silent(upstream, cause, r.opts.Now(), r.random)
	suspects := r.table.SuspectedCount()
	r.mu.Unlock()
	if struck {
		r.suspected(upstream, suspicion, suspects)
	}
}
