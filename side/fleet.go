package side

import (
	"context"

	"acaciawinch/core/fleet"
	"acaciawinch/core/gate"
	"acaciawinch/feed"
)

// fleetFeed is what the side reads of the fleet's state; *feed.Feed implements it.
type fleetFeed interface {
	State() *feed.State
	Changed() <-chan struct{}
}

// watchFleet follows the feed until ctx ends: it drains the upstream when the host
// list or the operators say so, and passes each placement on to the orders.
func watchFleet(ctx context.Context, source fleetFeed, k *keeper, orders *orders) error {
	for {
		changed := source.Changed()
		if state := source.State(); state != nil {
			applyFleet(state, k, orders)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyFleet brings drains and orders in line with the fleet's state.
func applyFleet(state *feed.State, k *keeper, orders *orders) {
	name := string(k.options.upstream)
	k.setDrain(gate.DrainHostList, leaving(state.Hosts(), name))
	k.setDrain(gate.DrainOperator, state.Drained(name))
	if orders == nil {
		return
	}
	plan, version := state.Placement()
	orders.setPlan(planFor(plan, k.options.upstream, version))
}

// leaving tells whether the host list says that the host is leaving. A host that
// is not in the list may just not be in it yet: the list lags.
func leaving(hosts []fleet.Host, name string) bool {
	for _, host := range hosts {
		if host.Name == name {
			return host.Leaving
		}
	}
	return false
}
