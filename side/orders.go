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

// Waits between the steps of bringing the engine in line with the plan.
const (
	orderRetryMin = 200 * time.Millisecond
	orderRetryMax = 5 * time.Second
	// orderCheck is how often the engine's report is compared with the plan, so
	// that an engine that was restarted gets its models back.
	orderCheck = 500 * time.Millisecond
	// orderAgain is when an order that was taken is given again if the report
	// does not show its effect.
	orderAgain = 15 * time.Second
)

// The actions of orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// enginePlan is what the plan says of one engine.
type enginePlan struct {
	// version is the plan object's version: the fencing number of the orders.
	version uint64
	// models are what the engine is to hold, as "model@version".
	models []string
}

// planFor returns the part of plan that concerns one upstream.
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

// orders brings one engine in line with the plan. It is a loop over what the
// engine reports and what the plan says, without memory that a restart would
// lose, so that a side that was restarted goes on where the last one stopped.
type orders struct {
	keeper *keeper
	// changed tells the loop that the plan changed.
	changed chan struct{}

	mu   sync.Mutex
	plan enginePlan

	// The rest belongs to the loop.
	// given tells when an order that was taken is given again.
	given map[upstream.Order]time.Duration
	retry time.Duration
	// refused is the plan's version whose orders are known to be stale.
	refused uint64
}

// newOrders returns orders without a plan.
func newOrders(k *keeper) *orders {
	return &orders{
		keeper:  k,
		changed: make(chan struct{}, 1),
		given:   make(map[upstream.Order]time.Duration),
		retry:   orderRetryMin,
	}
}

// setPlan replaces the plan. An older one than the present one is ignored.
func (o *orders) setPlan(plan enginePlan) {
	o.mu.Lock()
	newer := plan.version > o.plan.version
	if newer {
		o.plan = plan
	}
	o.mu.Unlock()
	if newer {
		signal(o.changed)
	}
}

// present returns the plan in force.
func (o *orders) present() enginePlan {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.plan
}

// run gives orders until ctx ends.
func (o *orders) run(ctx context.Context) error {
	timer := time.NewTimer(orderCheck)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.changed:
		case <-timer.C:
		}
		timer.Reset(o.step(ctx))
	}
}

// step gives the orders that are due and returns the time until the next step.
func (o *orders) step(ctx context.Context) time.Duration {
	plan := o.present()
	if len(plan.models) == 0 || plan.version == o.refused {
		// An engine that the plan doesn't know of keeps what it has: the planner
		// may not have seen it yet.
		return orderCheck
	}
	if !o.fence(plan) {
		o.refused = plan.version
		return orderCheck
	}
	for _, order := range o.due(plan) {
		if !o.give(ctx, order) {
			return o.backOff()
		}
	}
	o.retry = orderRetryMin
	return orderCheck
}

// fence asks the gate whether orders of the plan may be given.
func (o *orders) fence(plan enginePlan) bool {
	allowed := false
	o.keeper.do(func(time.Duration) {
		allowed = o.keeper.gate.Fence(plan.version)
		if !allowed {
			o.logRefused(plan.version, "the gate has seen a higher number")
		}
	})
	return allowed
}

// logRefused logs a refused order. The caller holds the keeper's mutex.
func (o *orders) logRefused(version uint64, detail string) {
	o.keeper.warn(event.OrderRefused, observe.Fields{
		"upstream": string(o.keeper.options.upstream),
		"fencing":  version,
		"highest":  o.keeper.gate.Fencing(),
		"detail":   detail,
	})
}

// due returns the orders that are due: the loads that are missing, and once there
// are none the unloads of what the plan does not name and nothing uses any more.
func (o *orders) due(plan enginePlan) []upstream.Order {
	var list []upstream.Order
	o.keeper.do(func(now time.Duration) {
		held := o.keeper.gate.Models(now)
		missing := o.missing(plan, held)
		if len(missing) > 0 {
			list = o.notGivenLately(now, missing)
			return
		}
		list = o.notGivenLately(now, o.extra(now, plan))
	})
	return list
}

// missing returns the loads of models that the plan names and the engine doesn't
// report. The caller holds the keeper's mutex.
func (o *orders) missing(plan enginePlan, held []string) []upstream.Order {
	var list []upstream.Order
	for _, model := range plan.models {
		o.keeper.gate.CancelUnload(model)
		if !slices.Contains(held, model) {
			list = append(list, orderOf(actionLoad, model, plan.version))
		}
	}
	return list
}

// extra returns the unloads of models that the engine reports and the plan doesn't
// name. New work for them is refused from now on; each is unloaded when none is
// left. The caller holds the keeper's mutex.
func (o *orders) extra(now time.Duration, plan enginePlan) []upstream.Order {
	var list []upstream.Order
	for _, model := range o.keeper.gate.Reported() {
		if slices.Contains(plan.models, model) {
			continue
		}
		o.keeper.gate.BeginUnload(now, model)
		if o.keeper.gate.Using(model) == 0 {
			list = append(list, orderOf(actionUnload, model, plan.version))
		}
	}
	return list
}

// orderOf returns an order about a "model@version".
func orderOf(action, name string, fencing uint64) upstream.Order {
	model, version, _ := strings.Cut(name, "@")
	return upstream.Order{Fencing: fencing, Action: action, Model: model, Version: version}
}

// notGivenLately leaves out the orders that the engine took a short time ago:
// loading takes time, and reports lag.
func (o *orders) notGivenLately(now time.Duration, list []upstream.Order) []upstream.Order {
	return slices.DeleteFunc(list, func(order upstream.Order) bool {
		again, ok := o.given[order]
		return ok && now < again
	})
}

// give gives one order. It tells whether the engine took it.
func (o *orders) give(ctx context.Context, order upstream.Order) bool {
	k := o.keeper
	err := k.options.client.Order(ctx, order)
	if ctx.Err() != nil {
		return false
	}
	fields := observe.Fields{
		"upstream": string(k.options.upstream),
		"action":   order.Action,
		"model":    order.Model + "@" + order.Version,
		"fencing":  order.Fencing,
	}
	k.do(func(now time.Duration) {
		switch {
		case err == nil:
			o.forgetOld(now)
			o.given[order] = now + orderAgain
			k.log(event.OrderGiven, fields)
		case fault.Is(err, fault.Conflict):
			o.refused = order.Fencing
			o.logRefused(order.Fencing, err.Error())
		default:
			k.warn(event.OrderFailed, with(fields, observe.Fields{"error": err.Error()}))
		}
	})
	return err == nil
}

// forgetOld forgets orders that may be given again anyway.
func (o *orders) forgetOld(now time.Duration) {
	for order, again := range o.given {
		if again <= now {
			delete(o.given, order)
		}
	}
}

// backOff returns the time until a failed order is tried again. It doubles up to
// its bound, with jitter, so that sides don't retry in step.
func (o *orders) backOff() time.Duration {
	wait := o.retry/2 + rand.N(o.retry/2)
	o.retry = min(2*o.retry, orderRetryMax)
	return wait
}
