package route

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/wire/wirepb"
)

// After a first usable answer the others get a few round trips more and no
// longer: an upstream that is gone must not cost each decision a whole timeout.
const (
	lingerRTTs = 4
	minLinger  = 2 * time.Millisecond
	maxLinger  = 10 * time.Millisecond
)

// farProbeAllowance is added to the timeout for an upstream of another region
// to which no distance is measured yet.
const farProbeAllowance = 200 * time.Millisecond

// indexed is an answer and its place in the question.
type indexed struct {
	place  int
	answer routing.Answer
}

// gather returns the answers of the upstreams that ask names, in their order,
// and starts its background probes. Who has not answered in time counts as
// unanswered; a late answer is still kept for the next decision.
func (r *Router) gather(ctx context.Context, need Need, ask routing.Ask) []routing.Answer {
	for _, upstream := range ask.Background {
		r.start(ctx, need, upstream, func(routing.Answer) {})
	}
	answers := r.remembered(ask)
	replies := make(chan indexed, len(answers))
	waiting := 0
	for i, answer := range answers {
		if answer.Answered {
			continue
		}
		waiting++
		r.start(ctx, need, answer.Upstream, func(a routing.Answer) { replies <- indexed{place: i, answer: a} })
	}
	if waiting < len(answers) {
		return answers
	}
	r.await(ctx, need, answers, replies)
	return answers
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

// await fills answers from replies until all have come, until a while after the
// first usable one, or until ctx ends.
func (r *Router) await(ctx context.Context, need Need, answers []routing.Answer, replies <-chan indexed) {
	query := queryOf(need, 0)
	var linger <-chan time.Time
	for range answers {
		select {
		case reply := <-replies:
			answers[reply.place] = reply.answer
			if linger == nil && query.Obstacle(reply.answer) == "" {
				timer := time.NewTimer(lingerFor(reply.answer.RTT))
				defer timer.Stop()
				linger = timer.C
			}
		case <-linger:
			return
		case <-ctx.Done():
			return
		}
	}
}

// lingerFor returns how long to wait on after an answer that took rtt.
func lingerFor(rtt time.Duration) time.Duration {
	return min(maxLinger, max(minLinger, lingerRTTs*rtt))
}

// start probes one upstream in a goroutine of its own, which ends by the probe's
// timeout, and hands on the answer. The probe outlives ctx, so that a caller who
// gives up doesn't make the upstream look silent.
func (r *Router) start(ctx context.Context, need Need, upstream routing.Upstream, done func(routing.Answer)) {
	ctx = context.WithoutCancel(ctx)
	timeout := r.timeout(upstream)
	go func() { done(r.probe(ctx, timeout, upstream, need.PrefixHash)) }()
}

// timeout bounds a probe by the way to the upstream.
func (r *Router) timeout(upstream routing.Upstream) time.Duration {
	timeout := time.Duration(r.opts.Settings.ProbeTimeoutMS) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	rtt := r.table.RTT(upstream.Zone)
	if rtt == 0 && upstream.Tier == routing.OtherRegion {
		return timeout + farProbeAllowance
	}
	return timeout + 2*rtt
}

// probe asks one upstream's side and keeps what came of it.
func (r *Router) probe(ctx context.Context, timeout time.Duration, upstream routing.Upstream, prefix uint64) routing.Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &wirepb.ProbeRequest{Revision: uint64(r.opts.Revision()), PrefixHash: prefix}
	sent := r.opts.Now()
	r.metrics.sent.Inc(1)
	reply, err := r.opts.Prober.Probe(ctx, upstream.Addr, request)
	if err != nil {
		r.metrics.timedOut.Inc(1)
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
