package pools

import (
	"context"
	"time"

	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Timing of the handover of parts.
const (
	// handoverDelay is how long another process must have been the owner before this one hands
	// its queued tasks over. The other gateways know of the new owner by then, which takes them
	// 0.2 s and one call to the store.
	handoverDelay = 500 * time.Millisecond
	// handoverInterval is how often ownership is checked.
	handoverInterval = 200 * time.Millisecond
)

// handover records since when other processes own parts that this one works on.
type handover struct {
	since map[Part]time.Time
}

// due reports whether the queued tasks of a part are to be handed over now. While this process
// is not the owner, due returns true once every handoverDelay.
func (h *handover) due(part Part, isOwner bool, now time.Time) bool {
	since, known := h.since[part]
	switch {
	case isOwner:
		delete(h.since, part)
		return false
	case !known:
		h.since[part] = now
		return false
	case now.Sub(since) < handoverDelay:
		return false
	default:
		h.since[part] = now
		return true
	}
}

// Run hands over parts that other processes own, forgets expired results and tells changed owners of the others, until ctx ends. Without the handover, after a crash of
// many processes a pool could have two owners, each with seconds of queued work. Their calls
// would make each other wait at the upstreams, and their results would take each other's room.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	h := &handover{since: make(map[Part]time.Time)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.handOver(h, now)
			d.expireHeld(now)
			d.followMembers()
		}
	}
}

// expireHeld forgets the results that their upstreams no longer keep.
func (d *Dispatcher) expireHeld(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.expire(now)
}

// handOver hands over the parts that are due.
func (d *Dispatcher) handOver(h *handover, now time.Time) {
	for _, part := range d.local.owner.busyParts() {
		owner := d.owner(part, now)
		if h.due(part, owner.Name == d.self.Name, now) {
			d.handOverTo(owner, part)
		}
	}
}

// handOverTo hands a part of a pool to its owner.
func (d *Dispatcher) handOverTo(owner view.Member, part Part) {
	if tasks := d.local.owner.HandBack(part); tasks > 0 {
		d.logger.Event(event.PoolHandedOver, observe.Fields{"service": part.Service, "part": part.Index, "owner": owner.Name, "tasks": tasks})
	}
}
