package trial

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/bench/scene"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/upstream"
)

// fault lets the case's fault happen at its time. It returns nil if the load
// ends first.
func (r *run) fault(ctx context.Context) error {
	if r.options.Case.Fault == scene.NoFault {
		return nil
	}
	timer := time.NewTimer(r.options.Case.At)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil
	}
	victim := r.fleet.Service(r.options.Size.Engine)[0]
	switch r.options.Case.Fault {
	case scene.Slow:
		return victim.Set(ctx, upstream.Control{SlowFactor: scene.SlowFactor})
	case scene.FreezeUpstream:
		return victim.Worker.Freeze()
	case scene.FreezeSide:
		return victim.Side.Freeze()
	case scene.KillRack:
		killZone(r.fleet, victim.Zone)
	}
	return nil
}

// killZone kills all upstreams of a zone with their sides at once.
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

// Limits of the wait for the end of all work.
const (
	idleTimeout  = 3 * time.Second
	idleInterval = 100 * time.Millisecond
)

// awaitIdle waits until no upstream that answers has work, so that work which
// nobody waits for is in the ledgers. It gives up after a time: work that goes on
// then has a start and no end there.
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

// busy tells whether any engine that answers has work.
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

// frozen tells whether the case froze this upstream.
func (r *run) frozen(u *harness.Upstream) bool {
	victim := r.fleet.Service(r.options.Size.Engine)[0]
	return u == victim && r.options.Case.Fault == scene.FreezeUpstream
}
