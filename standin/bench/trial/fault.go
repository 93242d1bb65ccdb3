package trial

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/bench/scenario"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/upstream"
)

// injectFault injects the fault of the case at its time. It returns nil without a
// fault if the load ends first.
func (r *run) injectFault(ctx context.Context) error {
	if r.options.Case.Fault == scenario.NoFault {
		return nil
	}
	timer := time.NewTimer(r.options.Case.At)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil
	}
	target := r.fleet.Service(r.options.Size.Engine)[0]
	switch r.options.Case.Fault {
	case scenario.Slow:
		return target.SetControl(ctx, upstream.Control{SlowFactor: scenario.SlowFactor})
	case scenario.FreezeUpstream:
		return target.Worker.Freeze()
	case scenario.FreezeSide:
		return target.Side.Freeze()
	case scenario.KillZone:
		killZone(r.fleet, target.Zone)
	}
	return nil
}

// killZone kills all upstreams of a zone and their sidecars concurrently.
func killZone(fleet *harness.Fleet, zone string) {
	var group sync.WaitGroup
	for _, u := range fleet.Upstreams {
		if u.Zone == zone {
			group.Go(u.Worker.Kill)
			group.Go(u.Side.Kill)
		}
	}
	group.Wait()
}

// Timeout and poll interval of awaitIdle.
const (
	idleTimeout  = 3 * time.Second
	idleInterval = 100 * time.Millisecond
)

// awaitIdle waits until no responsive engine has work in flight, so that the
// ledgers also contain work whose caller no longer waits for it. It gives up after
// idleTimeout: work that still runs then has a start but no end in the ledgers.
func (r *run) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for r.busy(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// busy reports whether any responsive engine has work in flight.
func (r *run) busy(ctx context.Context) bool {
	for _, u := range r.fleet.Service(r.options.Size.Engine) {
		if !u.Worker.Running() || r.frozen(u) {
			continue
		}
		status, err := u.Status(ctx)
		if err == nil && status.InFlight > 0 {
			return true
		}
	}
	return false
}

// frozen reports whether the fault of the case froze this upstream.
func (r *run) frozen(u *harness.Upstream) bool {
	target := r.fleet.Service(r.options.Size.Engine)[0]
	return u == target && r.options.Case.Fault == scenario.FreezeUpstream
}
