package side

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/upstream"
)

// Intervals and delays of the reconciliation of an engine with the plan.
const (
	orderRetryMin = 200 * time.Millisecond
	orderRetryMax = 5 * time.Second
	// reconcileInterval is how often the engine's report is compared with the plan, so
	// that an engine that restarted loads its models again.
	reconcileInterval = 500 * time.Millisecond
	// orderRepeatDelay is the time after which an accepted order is sent again if the
	// engine's report does not show its effect.
	orderRepeatDelay = 15 * time.Second
)

// Actions of orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// enginePlan is the part of the placement plan that concerns one engine.
type enginePlan struct {
	// version is the plan object's version, the fencing token of the orders.
	version uint64
	// models are the models that the engine must have loaded, as "model@version".
	models []string
}

// planFor returns the part of plan that concerns one upstream, with its models sorted.
func planFor(plan placement.Plan, name core.UpstreamID, version uint64) enginePlan {
	own := enginePlan{version: version}
	for _, a := range plan.Assignments {
		if a.Upstream == name {
			own.models = append(own.models, a.Model+"@"+a.Version)
		}
	}
	slices.Sort(own.models)
	return own
}

// modelReconciler loads and unloads the models of one engine as the plan demands. It
// compares the engine's reports with the plan and needs no state that a restart would
// lose, so a restarted sidecar continues where the previous incarnation stopped.
type modelReconciler struct {
	dispatcher *dispatcher
	// changed wakes the loop when the plan changes.
	changed chan struct{}

	mu   sync.Mutex
	plan enginePlan

	// Only the loop uses the fields below.
	//
	// repeatAt is the time after which an accepted order may be sent again.
	repeatAt map[upstream.Order]time.Duration
	// backoff is the longest wait before the next retry of a failed order.
	backoff time.Duration
	// staleVersion is the version of a plan whose orders were refused as stale.
	staleVersion uint64
}

// newModelReconciler returns a reconciler that has no plan yet.
func newModelReconciler(d *dispatcher) *modelReconciler {
	return &modelReconciler{
		dispatcher: d,
		changed:    make(chan struct{}, 1),
		repeatAt:   make(map[upstream.Order]time.Duration),
		backoff:    orderRetryMin,
	}
}

// setPlan replaces the plan, unless the given one is not newer.
func (r *modelReconciler) setPlan(plan enginePlan) {
	r.mu.Lock()
	newer := plan.version > r.plan.version
	if newer {
		r.plan = plan
	}
	r.mu.Unlock()
	if newer {
		signal(r.changed)
	}
}

// currentPlan returns the latest plan.
func (r *modelReconciler) currentPlan() enginePlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

// run reconciles the engine with the plan until ctx ends.
func (r *modelReconciler) run(ctx context.Context) error {
	timer := time.NewTimer(reconcileInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		case <-timer.C:
		}
		timer.Reset(r.step(ctx))
	}
}

// step sends the orders that are due, until one fails, and returns the time until the next
// step.
func (r *modelReconciler) step(ctx context.Context) time.Duration {
	plan := r.currentPlan()
	if len(plan.models) == 0 || plan.version == r.staleVersion {
		// An engine that the plan doesn't name keeps its models, because the planner
		// may not have seen the engine yet.
		return reconcileInterval
	}
	if !r.fence(plan) {
		r.staleVersion = plan.version
		return reconcileInterval
	}
	for _, order := range r.dueOrders(plan) {
		if !r.send(ctx, order) {
			return r.nextBackoff()
		}
	}
	r.backoff = orderRetryMin
	return reconcileInterval
}

// fence checks the fencing token of the plan at the gate, and reports whether orders
// of the plan may be sent.
func (r *modelReconciler) fence(plan enginePlan) bool {
	allowed := false
	r.dispatcher.do(func(time.Duration) {
		allowed = r.dispatcher.gate.Fence(plan.version)
		if !allowed {
			r.logStaleOrder(plan.version, "the gate has seen a higher fencing token")
		}
	})
	return allowed
}

// logStaleOrder logs an order that was refused because its fencing token is stale. The
// dispatcher's mutex must be held.
func (r *modelReconciler) logStaleOrder(version uint64, detail string) {
	r.dispatcher.warn(event.OrderRefused, observe.Fields{
		"upstream": string(r.dispatcher.options.upstream),
		"fencing":  version,
		"highest":  r.dispatcher.gate.Fencing(),
		"detail":   detail,
	})
}

// dueOrders returns the orders that are due: the loads of missing models, and once no
// model is missing the unloads of unused models that the plan does not name.
func (r *modelReconciler) dueOrders(plan enginePlan) []upstream.Order {
	var list []upstream.Order
	r.dispatcher.do(func(now time.Duration) {
		models := r.dispatcher.gate.Models(now)
		loads := r.loadOrders(plan, models)
		if len(loads) > 0 {
			list = r.withoutRecent(now, loads)
			return
		}
		list = r.withoutRecent(now, r.unloadOrders(now, plan))
	})
	return list
}

// loadOrders returns the loads of models that the plan names and the engine doesn't
// report. The dispatcher's mutex must be held.
func (r *modelReconciler) loadOrders(plan enginePlan, loaded []string) []upstream.Order {
	var list []upstream.Order
	for _, model := range plan.models {
		r.dispatcher.gate.CancelUnload(model)
		if !slices.Contains(loaded, model) {
			list = append(list, newOrder(actionLoad, model, plan.version))
		}
	}
	return list
}

// unloadOrders returns the unloads of models that the engine reports and the plan
// doesn't name. From now on the gate refuses new attempts for these models; each model
// is unloaded when no attempt uses it. The dispatcher's mutex must be held.
func (r *modelReconciler) unloadOrders(now time.Duration, plan enginePlan) []upstream.Order {
	var list []upstream.Order
	for _, model := range r.dispatcher.gate.ReportedModels() {
		if slices.Contains(plan.models, model) {
			continue
		}
		r.dispatcher.gate.BeginUnload(now, model)
		if r.dispatcher.gate.CountUsing(model) == 0 {
			list = append(list, newOrder(actionUnload, model, plan.version))
		}
	}
	return list
}

// newOrder returns an order for a "model@version".
func newOrder(action, name string, fencing uint64) upstream.Order {
	model, version, _ := strings.Cut(name, "@")
	return upstream.Order{Fencing: fencing, Action: action, Model: model, Version: version}
}

// withoutRecent removes the orders that the engine accepted a short time ago: loading
// takes time, and the engine's reports lag.
func (r *modelReconciler) withoutRecent(now time.Duration, list []upstream.Order) []upstream.Order {
	return slices.DeleteFunc(list, func(order upstream.Order) bool {
		repeatAt, ok := r.repeatAt[order]
		return ok && now < repeatAt
	})
}

// send sends one order. It reports whether the engine accepted it.
func (r *modelReconciler) send(ctx context.Context, order upstream.Order) bool {
	d := r.dispatcher
	err := d.options.client.Order(ctx, order)
	if ctx.Err() != nil {
		return false
	}
	fields := observe.Fields{
		"upstream": string(d.options.upstream),
		"action":   order.Action,
		"model":    order.Model + "@" + order.Version,
		"fencing":  order.Fencing,
	}
	d.do(func(now time.Duration) {
		switch {
		case err == nil:
			r.forgetExpired(now)
			r.repeatAt[order] = now + orderRepeatDelay
			d.log(event.OrderGiven, fields)
		case fault.Is(err, fault.Conflict):
			r.staleVersion = order.Fencing
			r.logStaleOrder(order.Fencing, err.Error())
		default:
			d.warn(event.OrderFailed, mergeFields(fields, observe.Fields{"error": err.Error()}))
		}
	})
	return err == nil
}

// forgetExpired deletes the entries of orders that may be sent again.
func (r *modelReconciler) forgetExpired(now time.Duration) {
	for order, repeatAt := range r.repeatAt {
		if repeatAt <= now {
			delete(r.repeatAt, order)
		}
	}
}

// nextBackoff returns the time until a failed order is retried. It doubles up to
// orderRetryMax, with jitter, so that sidecars don't retry in step.
func (r *modelReconciler) nextBackoff() time.Duration {
	wait := r.backoff/2 + rand.N(r.backoff/2)
	r.backoff = min(2*r.backoff, orderRetryMax)
	return wait
}
