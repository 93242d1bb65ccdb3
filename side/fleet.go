package side

import (
	"context"

	"acaciawinch/core/fleet"
	"acaciawinch/core/gate"
	"acaciawinch/core/placement"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/link"
)

// fleetState is what the side reads of the fleet's state; *feed.State implements it.
type fleetState interface {
	Hosts() []fleet.Host
	Drained(upstream string) bool
	Placement() (plan placement.Plan, version uint64)
}

// watchFleet follows the feed until ctx ends: it drains the upstream when the host
// list or the operators say so, and passes each placement on to the orders.
func watchFleet(ctx context.Context, source *feed.Feed, k *keeper, orders *orders) error {
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
func applyFleet(state fleetState, k *keeper, orders *orders) {
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

// logRefused logs that a connection to this process was refused.
func (p *process) logRefused(refusal link.Refusal) {
	p.logger.Warn(event.ConnectionRefused, observe.Fields{
		"peer":    refusal.Peer,
		"error":   refusal.Err.Error(),
		"refused": refusal.Total,
	})
}
