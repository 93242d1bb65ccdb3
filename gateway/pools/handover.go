package pools

import (
	"context"
	"time"

	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Timing of handing parts of pools over.
const (
	// handOverAfter is how long another process must have been the owner before this one
	// hands it what waits here: by then the others know of it too. That takes them 0.2 s
	// and a call of the store.
	handOverAfter = 500 * time.Millisecond
	// handOverEvery is how often that is looked at.
	handOverEvery = 200 * time.Millisecond
)

// handover holds since when other processes own parts that this one works on.
type handover struct {
	since map[Part]time.Time
}

// due tells whether what waits for a part is to be handed over now, given whether this
// process is its owner. It is true once for each handOverAfter that it is not.
func (h *handover) due(part Part, mine bool, now time.Time) bool {
	since, known := h.since[part]
	switch {
	case mine:
		delete(h.since, part)
		return false
	case !known:
		h.since[part] = now
		return false
	case now.Sub(since) < handOverAfter:
		return false
	default:
		h.since[part] = now
		return true
	}
}

// Run hands parts over that other processes own, until ctx ends. After a crash of many
// processes two owners of a pool, each with seconds of work waiting, would keep its upstreams
// waiting for each other, and take the room that the other's results need for their own.
func (a *Asker) Run(ctx context.Context) error {
	ticker := time.NewTicker(handOverEvery)
	defer ticker.Stop()
	h := &handover{since: make(map[Part]time.Time)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.handOver(h, now)
		}
	}
}

// handOver hands over what is due.
func (a *Asker) handOver(h *handover, now time.Time) {
	for _, part := range a.local.owner.busyParts() {
		owner := a.owner(part, now)
		if h.due(part, owner.Name == a.self.Name, now) {
			a.giveTo(owner, part)
		}
	}
}

// giveTo hands a part of a pool to its owner.
func (a *Asker) giveTo(owner view.Member, part Part) {
	if tasks := a.local.owner.HandBack(part); tasks > 0 {
		a.logger.Event(event.PoolHandedOver, observe.Fields{"service": part.Service, "part": part.Index, "owner": owner.Name, "tasks": tasks})
	}
}
