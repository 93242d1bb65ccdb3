package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/latency"
	"acaciawinch/core/routing"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	opts    Options
	metrics *metrics

	// mu guards the fields below. No I/O is done while it is held.
	mu        sync.Mutex
	policy    routing.Policy
	random    *rand.Rand
	fleet     Fleet
	picker    *routing.Picker
	table     *routing.Table
	latencies *latency.Table
}

// New returns a Router. Settings that Validate rejects fall back to the default policy.
func New(opts Options) *Router {
	opts = opts.complete()
	policy, err := routing.NewPolicy(opts.Settings.Policy)
	if err != nil {
		policy, _ = routing.NewPolicy(routing.Probe2) // cannot fail: Probe2 always exists
	}
	return &Router{
		opts:      opts,
		metrics:   newMetrics(opts.Scope, policy.Name()),
		policy:    policy,
		random:    rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		picker:    routing.NewPicker(routing.Source{}),
		table:     routing.NewTable(),
		latencies: latency.NewTable(),
	}
}

// Choose returns the upstream that the policy chooses for a stage. Each returned
// Choice must be followed by one call of ObserveResult. The code of an error is
// Refused if no upstream can run the stage in time (see RetryAfter), Cancelled or
// DeadlineExceeded if ctx ended.
func (r *Router) Choose(ctx context.Context, need Need) (Choice, error) {
	started := r.opts.Now()
	probes := newProbeSet(r, need)
	var decision routing.Decision
	for step := 0; ctx.Err() == nil; step++ {
		plan := r.plan(need, started, step, probes.responses)
		if step > 0 && len(plan.Upstreams) == 0 {
			break
		}
		probes.run(ctx, plan)
		decision = r.decide(need, started, step, probes.responses)
		if !decision.Widen {
			break
		}
		r.metrics.widened.Inc(1)
	}
	decision = r.finalDecision(ctx, probes, started, decision)
	r.metrics.latency.Record(r.opts.Now().Sub(started))
	if err := ctxFault(ctx, need.Service); err != nil && !decision.OK {
		return Choice{}, err
	}
	return r.conclude(need, decision)
}

// lastStep is a step number at which every policy's decision is final.
const lastStep = 1000

// finalDecision returns the decision once no other upstream can be probed. If no
// upstream has responded yet, it first waits until the open probes end: on a busy
// host, a late response is better than a refusal.
func (r *Router) finalDecision(ctx context.Context, probes *probeSet, started time.Time, decision routing.Decision) routing.Decision {
	if decision.OK && !decision.Widen {
		return decision
	}
	if !probes.answered() {
		probes.await(ctx, nil)
	}
	return r.decide(probes.need, started, lastStep, probes.responses)
}

// ctxFault returns an error with the reason for which ctx ended, nil if it has not.
func ctxFault(ctx context.Context, service string) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return fault.New(fault.DeadlineExceeded, "route.choose", service, "the deadline passed before an upstream was chosen")
	default:
		return fault.New(fault.Cancelled, "route.choose", service, "the caller cancelled the request")
	}
}

// plan returns the upstreams that the policy wants to probe in this step.
func (r *Router) plan(need Need, started time.Time, step int, responses []routing.ProbeResult) routing.ProbePlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshPicker()
	return r.policy.Plan(r.round(need, started, step, responses))
}

// decide returns the policy's decision. A final choice is counted as in flight before
// the lock is released, so that the next decision takes it into account.
func (r *Router) decide(need Need, started time.Time, step int, responses []routing.ProbeResult) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.policy.Decide(r.round(need, started, step, responses))
	if !decision.Widen {
		r.countInFlight(decision)
	}
	return decision
}

// countInFlight adds an attempt in flight to the chosen upstream. The caller holds mu.
func (r *Router) countInFlight(decision routing.Decision) {
	if decision.OK {
		r.table.RecordChoice(decision.Chosen.Result.Upstream.ID, r.opts.Now())
	}
}

// round returns the policy's input for one step. The caller holds mu.
func (r *Router) round(need Need, started time.Time, step int, responses []routing.ProbeResult) *routing.Round {
	now := r.opts.Now()
	remaining := need.Remaining
	if remaining > 0 {
		remaining = max(1, remaining-now.Sub(started))
	}
	return &routing.Round{
		Query:   queryOf(need, remaining),
		Picker:  r.picker,
		Table:   r.table,
		Random:  r.random,
		Now:     now,
		Usual:   r.latencies.Estimate(need.Service, now),
		Step:    step,
		Results: responses,
	}
}

// refreshPicker builds a new Picker if the state of the fleet changed. The caller holds mu.
func (r *Router) refreshPicker() {
	state := r.opts.Fleet()
	if state == nil || state == r.fleet {
		return
	}
	plan, _ := state.Placement()
	r.fleet = state
	r.picker = routing.NewPicker(routing.Source{
		Zone:        r.opts.Zone,
		Region:      r.opts.Region,
		Hosts:       state.Hosts(),
		Drained:     state.Drained,
		Assignments: plan.Assignments,
	})
	r.table.Prune(r.picker)
	r.opts.Logger.Event(event.PickerBuilt, observe.Fields{
		"upstreams": r.picker.Len(), "excluded": r.picker.Excluded(),
	})
}

// conclude logs the final decision and converts it to a Choice or an error.
func (r *Router) conclude(need Need, decision routing.Decision) (Choice, error) {
	if !decision.OK {
		r.logRefused(need, decision)
		return Choice{}, refuse(need.Service, refusalOf(decision), decision.Reason)
	}
	chosen := decision.Chosen.Result
	choice := Choice{
		Upstream:       chosen.Upstream.ID,
		Addr:           chosen.Upstream.Addr,
		Zone:           chosen.Upstream.Zone,
		Incarnation:    chosen.Incarnation,
		SidecarClockUS: chosen.ClockUS,
		Expected:       decision.Chosen.Expected,
		PrefixCached:   chosen.PrefixCached,
		Reason:         decision.Reason,
		Alternatives:   alternatives(decision.Others),
	}
	r.logChosen(need, decision, choice)
	return choice, nil
}

// refusalOf returns the refusal for a decision without a chosen upstream.
func refusalOf(d routing.Decision) refusal {
	capable := func(c routing.Candidate) bool { return c.Expected > 0 }
	return refusal{retryAfter: d.RetryAfter, tooLate: slices.ContainsFunc(d.Others, capable)}
}

// ObserveLoad records a load report that was part of a sidecar's response.
func (r *Router) ObserveLoad(upstream core.UpstreamID, load *wirepb.Load) {
	if load == nil {
		return
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	member, ok := r.picker.Upstream(upstream)
	if !ok {
		return
	}
	r.table.RecordLoad(upstream, loadOf(load), now)
	r.latencies.Observe(member.Service, upstream, reportOf(load, now))
}

// ObserveResult records the result of an attempt.
func (r *Router) ObserveResult(result Result) {
	r.mu.Lock()
	r.table.RecordEnd(result.Upstream, result.Kind == ResultOK)
	r.mu.Unlock()
	if result.Kind == ResultSilent {
		r.recordSilence(result.Upstream, routing.SilentWork)
	}
}

// Estimate returns the expected latencies of a service, based on the reports of its sidecars.
func (r *Router) Estimate(service string) latency.Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencies.Estimate(service, r.opts.Now())
}
