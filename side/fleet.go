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

// fleetState is the part of the fleet's state that the sidecar uses; *feed.State
// implements it.
type fleetState interface {
	Hosts() []fleet.Host
	Drained(upstream string) bool
	Placement() (plan placement.Plan, version uint64)
}

// watchFleet follows the feed until ctx ends: it drains the upstream when the host
// list or an operator demands it, and passes each placement to the reconciler.
func watchFleet(ctx context.Context, source *feed.Feed, d *dispatcher, reconciler *modelReconciler) error {
	for {
		changed := source.Changed()
		if state := source.State(); state != nil {
			applyFleet(state, d, reconciler)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyFleet applies the fleet's state to the upstream's drains and the reconciler.
func applyFleet(state fleetState, d *dispatcher, reconciler *modelReconciler) {
	name := string(d.options.upstream)
	d.setDrain(gate.DrainHostList, isLeaving(state.Hosts(), name))
	d.setDrain(gate.DrainOperator, state.Drained(name))
	if reconciler == nil {
		return
	}
	plan, version := state.Placement()
	reconciler.setPlan(planFor(plan, d.options.upstream, version))
}

// isLeaving reports whether the host list marks the host as leaving. A host that is
// missing from the list does not count: the list lags and may not have it yet.
func isLeaving(hosts []fleet.Host, name string) bool {
	for _, host := range hosts {
		if host.Name == name {
			return host.Leaving
		}
	}
	return false
}

// logRefused logs a refused connection to this process.
func (p *process) logRefused(refusal link.Refusal) {
	p.logger.Warn(event.ConnectionRefused, observe.Fields{
		"peer":    refusal.Peer,
		"error":   refusal.Err.Error(),
		"refused": refusal.Total,
	})
}
