package view

import (
	"time"

	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// A store that returns from an older copy lists upstreams as ready that have announced since that they
// leave, or whose entries were removed. They run for a while yet, and must get no new work.

// removedHold is how long an upstream whose entry was removed before the store returned from a copy gets no
// work after the return. The store removes the entry of an upstream that no longer writes it within three
// heartbeats, 3.6 s.
const removedHold = 5 * time.Second

// leavingHold is how long an upstream that announced before the return that it leaves gets no work, unless
// its entry is written again. It ends within that time.
const leavingHold = reportTTL

// departure is how an incarnation left discovery.
type departure struct {
	// leaving is set if it had announced that it leaves, and not only been removed.
	leaving bool
	at      time.Time
}

// holdTime returns how long an incarnation that left gets no work after the store returned from a copy.
func (d departure) holdTime() time.Duration {
	if d.leaving {
		return leavingHold
	}
	return removedHold
}

// reason names the departure in log lines.
func (d departure) reason() string {
	if d.leaving {
		return "leaving"
	}
	return "removed"
}

// hold keeps an incarnation from getting work although its entry says that it is ready.
type hold struct {
	departure
	until time.Time
	// logged is set once the entry was seen.
	logged bool
}

// departures knows which incarnations left before the store returned from an older copy. The receiver's lock
// guards it.
type departures struct {
	// removed holds the incarnations whose entries were removed and have not been listed since.
	removed map[incarnation]departure
	// held holds the incarnations that had left before the present era.
	held map[incarnation]*hold
	// unlisted is set from the beginning of an era to its first list.
	unlisted bool
	// newestListed is the highest revision in the first list of the era. An entry of a higher revision was
	// written after the return.
	newestListed int64
}

// newDepartures returns an empty departures.
func newDepartures() departures {
	return departures{removed: make(map[incarnation]departure), held: make(map[incarnation]*hold)}
}

// recordRemoval records that the entry of an upstream was removed.
func (d *departures) recordRemoval(upstream routes.Upstream, now time.Time) {
	d.removed[incarnationOf(upstream)] = departure{leaving: upstream.Leaving, at: now}
}

// beginEra holds the incarnations that had left, by the entries of the era that has ended.
func (d *departures) beginEra(entries map[string]routes.Upstream, now time.Time) {
	for _, held := range d.held {
		held.until = now.Add(held.holdTime())
	}
	for key, left := range d.removed {
		d.hold(key, left, now)
	}
	for _, upstream := range entries {
		if upstream.Leaving {
			d.hold(incarnationOf(upstream), departure{leaving: true, at: now}, now)
		}
	}
	d.unlisted = true
}

// hold holds an incarnation, unless it is held because it announced that it leaves.
func (d *departures) hold(key incarnation, left departure, now time.Time) {
	if old := d.held[key]; old == nil || !old.leaving {
		d.held[key] = &hold{departure: left, until: now.Add(left.holdTime())}
	}
}

// list takes note of a list before its entries are read, and reports whether it is the first of an era that
// began with a return from a copy.
func (d *departures) list(objects []replica.Object) bool {
	if !d.unlisted {
		return false
	}
	d.unlisted, d.newestListed = false, 0
	for _, object := range objects {
		d.newestListed = max(d.newestListed, object.Revision)
	}
	return true
}

// holds reports whether an upstream gets no work because it left before the present era.
func (d *departures) holds(upstream routes.Upstream) bool {
	return d.held[incarnationOf(upstream)] != nil
}

// expire drops the holds that have ended and the removals that no copy of the store is older than, and
// returns the holds.
func (d *departures) expire(now time.Time) map[incarnation]*hold {
	ended := make(map[incarnation]*hold)
	for key, held := range d.held {
		if !now.Before(held.until) {
			ended[key] = held
			delete(d.held, key)
		}
	}
	for key, left := range d.removed {
		if now.Sub(left.at) > reportTTL {
			delete(d.removed, key)
		}
	}
	return ended
}

// EraChanged tells the receiver that the next list is the first after the store returned from an older copy.
func (r *upstreamReceiver) EraChanged(int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departures.beginEra(r.known, time.Now())
	r.view.proof.recordGap()
	if len(r.departures.held) > 0 {
		time.AfterFunc(removedHold, r.expireHolds)
		time.AfterFunc(leavingHold, r.expireHolds)
	}
}

// expireHolds makes the upstreams available whose holds have ended.
func (r *upstreamReceiver) expireHolds() { r.expireHoldsAt(time.Now()) }

// expireHoldsAt is expireHolds at a given time.
func (r *upstreamReceiver) expireHoldsAt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, held := range r.departures.expire(now) {
		r.logHoldEnded(key, held, "expired")
	}
	r.publish()
}

// checkHold ends the hold of an upstream if its entry was written after the store returned from a copy.
// r.mu must be held.
func (r *upstreamReceiver) checkHold(upstream routes.Upstream, revision int64) {
	key := incarnationOf(upstream)
	delete(r.departures.removed, key)
	held := r.departures.held[key]
	switch {
	case held == nil:
	case revision > r.departures.newestListed:
		delete(r.departures.held, key)
		r.logHoldEnded(key, held, "written")
	case !upstream.Leaving && !held.logged:
		held.logged = true
		r.unlogged.add(event.UpstreamHeld, observe.Fields{"upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address,
			"reason": held.reason(), "revision": revision, "hold_ms": time.Until(held.until).Milliseconds()})
	}
}

// logHoldEnded records the event that a hold ended, if its beginning was recorded. r.mu must be held.
func (r *upstreamReceiver) logHoldEnded(key incarnation, ended *hold, cause string) {
	if ended.logged {
		r.unlogged.add(event.UpstreamHoldEnded, observe.Fields{"upstream": key.id, "reason": ended.reason(), "cause": cause})
	}
}
