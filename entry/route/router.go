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

// Router chooses upstreams. It may be used by many goroutines.
type Router struct {
	opts    Options
	metrics *metrics

	// mu guards all below. No I/O happens while it is held.
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
		policy, _ = routing.NewPolicy(routing.Probe2) // this one always exists
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

// Choose returns the upstream that the policy takes for a stage. Each returned
// Choice must be followed by one ObserveResult. Errors: code Refused if nobody
// can carry out the stage in time (see RetryAfter), Cancelled or
// DeadlineExceeded if ctx ended.
func (r *Router) Choose(ctx context.Context, need Need) (Choice, error) {
	started := r.opts.Now()
	inquiry := newInquiry(r, need)
	var decision routing.Decision
	for number := 0; ctx.Err() == nil; number++ {
		ask := r.plan(need, started, number, inquiry.answers)
		if number > 0 && len(ask.Upstreams) == 0 {
			break
		}
		inquiry.ask(ctx, ask)
		decision = r.decide(need, started, number, inquiry.answers)
		if !decision.Widen {
			break
		}
		r.metrics.widened.Inc(1)
	}
	decision = r.settle(ctx, inquiry, started, decision)
	r.metrics.latency.Record(r.opts.Now().Sub(started))
	if err := ctxFault(ctx, need.Service); err != nil && !decision.OK {
		return Choice{}, err
	}
	return r.conclude(need, decision)
}

// lastStep is the number of a step after which no policy asks for another.
const lastStep = 1000

// settle returns the decision that stands when nobody else can be asked. If
// nobody has answered yet, it first gives the open probes the rest of their
// time: on a busy host a late answer is better than a refusal.
func (r *Router) settle(ctx context.Context, inquiry *inquiry, started time.Time, decision routing.Decision) routing.Decision {
	if decision.OK && !decision.Widen {
		return decision
	}
	if !inquiry.answered() {
		inquiry.await(ctx, nil)
	}
	return r.decide(inquiry.need, started, lastStep, inquiry.answers)
}

// ctxFault returns why ctx ended, or nil.
func ctxFault(ctx context.Context, service string) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return fault.New(fault.DeadlineExceeded, "route.choose", service, "the deadline passed before an upstream was chosen")
	default:
		return fault.New(fault.Cancelled, "route.choose", service, "the caller gave up")
	}
}

// plan asks the policy whom to ask.
func (r *Router) plan(need Need, started time.Time, number int, answers []routing.Answer) routing.Ask {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.policy.Ask(r.round(need, started, number, answers))
}

// decide asks the policy whom to take. A choice that stands is counted before the
// lock is released, so that the next decision sees it.
func (r *Router) decide(need Need, started time.Time, number int, answers []routing.Answer) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.policy.Decide(r.round(need, started, number, answers))
	if !decision.Widen {
		r.count(decision)
	}
	return decision
}

// count records the chosen upstream as holding one more attempt. The lock is held.
func (r *Router) count(decision routing.Decision) {
	if decision.OK {
		r.table.Chosen(decision.Chosen.Answer.Upstream.ID, r.opts.Now())
	}
}

// round returns what a policy reads. The lock is held.
func (r *Router) round(need Need, started time.Time, number int, answers []routing.Answer) *routing.Round {
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
		Number:  number,
		Answers: answers,
	}
}

// refresh takes a new Picker if the state of the fleet changed. The lock is held.
func (r *Router) refresh() {
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
	r.table.Keep(r.picker)
	r.opts.Logger.Event(event.PickerBuilt, observe.Fields{
		"upstreams": r.picker.Len(), "excluded": r.picker.Excluded(),
	})
}

// conclude turns the decision that stands into a Choice or an error.
func (r *Router) conclude(need Need, decision routing.Decision) (Choice, error) {
	if !decision.OK {
		r.refused(need, decision)
		return Choice{}, refuse(need.Service, refusalOf(decision), decision.Reason)
	}
	chosen := decision.Chosen.Answer
	choice := Choice{
		Upstream:     chosen.Upstream.ID,
		Addr:         chosen.Upstream.Addr,
		Zone:         chosen.Upstream.Zone,
		Incarnation:  chosen.Incarnation,
		SideClockUS:  chosen.ClockUS,
		Expected:     decision.Chosen.Expected,
		PrefixCached: chosen.PrefixCached,
		Reason:       decision.Reason,
		Alternatives: alternatives(decision.Others),
	}
	r.chosen(need, decision, choice)
	return choice, nil
}

// refusalOf tells why nobody was taken.
func refusalOf(d routing.Decision) refusal {
	able := func(w routing.Weighed) bool { return w.Expected > 0 }
	return refusal{after: d.RetryAfter, late: slices.ContainsFunc(d.Others, able)}
}

// ObserveLoad keeps a load that came with an answer of a side.
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
	r.table.Loaded(upstream, loadOf(load), now)
	r.latencies.Observe(member.Service, upstream, reportOf(load, now))
}

// ObserveResult keeps how an attempt ended.
func (r *Router) ObserveResult(result Result) {
	r.mu.Lock()
	r.table.Ended(result.Upstream, result.Kind == ResultOK)
	r.mu.Unlock()
	if result.Kind == ResultSilent {
		r.silent(result.Upstream, routing.SilentWork)
	}
}

// Estimate returns what is expected of a service, from what its sides report.
func (r *Router) Estimate(service string) latency.Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencies.Estimate(service, r.opts.Now())
}
