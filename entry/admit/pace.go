package admit

import (
	"slices"
	"time"
)

// Constants of the adaptive limit. A cut of a tenth loses little throughput while the
// upstreams' queues are full, and is recovered within about as many responses as the
// limit allows requests in flight.
const (
	// cutFactor is the factor by which a cut reduces the limit.
	cutFactor = 0.9
	// cutInterval is the shortest time between two cuts. Requests that are already in
	// flight at the first cut are likely to be refused as well and must not cut again.
	cutInterval = 200 * time.Millisecond
	// limitLifetime is how long the limit stays in force after the last overload.
	limitLifetime = 10 * time.Second
	// nearLimitShare is the share of the limit that must be in use for responses to raise
	// it: below, they don't show that the upstreams could take more.
	nearLimitShare = 0.8
	// minLimit is the least that cuts reduce the limit to. With less, a single overload
	// would cause a burst of a few requests to be refused.
	minLimit = 2
	// maxHold is the longest time for which a refused request keeps its slot.
	maxHold = time.Second
	// fastGrowthAfter is the time without overload after which the limit grows faster, by
	// one for each response.
	fastGrowthAfter = time.Second
)

// adaptiveLimit bounds the requests in flight of one workspace and pipeline to what
// the upstreams complete in time, by additive increase and multiplicative decrease: a
// request that is refused after its admission because its remaining time is too short
// cuts the limit; responses raise it. So most requests beyond the capacity are refused
// at admission, before any stage has spent work on them, and not in the queue of the
// last stage.
//
// A request that is refused after its admission keeps its slot for the retry delay that
// its client was given, up to maxHold. A refusal takes much less time than a response. If it
// freed its slot at once, an overload would grow: the fewer requests complete, the more
// would be admitted, only to be refused later.
type adaptiveLimit struct {
	inFlight int
	// heldUntil holds the times until which refused requests keep their slots.
	heldUntil []time.Time
	// peak is the highest number in flight since the last cut.
	peak int
	// limit is zero while no limit is in force.
	limit        float64
	lastCut      time.Time
	lastOverload time.Time
	// retryAfter is the retry delay that was given at the last overload.
	retryAfter time.Duration
}

// allows reports whether one more request may be admitted.
func (l *adaptiveLimit) allows(now time.Time) bool {
	if l.limit > 0 && now.Sub(l.lastOverload) > limitLifetime {
		l.limit = 0
		l.peak = l.inFlight
	}
	l.heldUntil = slices.DeleteFunc(l.heldUntil, func(until time.Time) bool { return !now.Before(until) })
	return l.limit == 0 || float64(l.inFlight+len(l.heldUntil)+1) <= l.limit
}

// admit counts a request as in flight and reports whether the limit is now nearly
// reached.
func (l *adaptiveLimit) admit() (nearLimit bool) {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return l.limit > 0 && float64(l.inFlight) >= nearLimitShare*l.limit
}

// completed raises the limit after a response, if the limit was nearly reached
// (nearLimit) when the request was admitted. As many responses as the limit allows
// requests in flight raise it by one; after fastGrowthAfter without overload, each
// response does.
func (l *adaptiveLimit) completed(now time.Time, nearLimit bool) {
	switch {
	case l.limit == 0 || !nearLimit:
	case now.Sub(l.lastOverload) > fastGrowthAfter:
		l.limit++
	default:
		l.limit += 1 / l.limit
	}
}

// overloaded holds the slot of a request that was refused after its admission, and cuts
// the limit unless the last cut was less than cutInterval ago. If no limit is in force,
// the peak is cut and becomes the limit.
func (l *adaptiveLimit) overloaded(now time.Time, retryAfter time.Duration) {
	l.lastOverload = now
	l.retryAfter = retryAfter
	l.heldUntil = append(l.heldUntil, now.Add(min(retryAfter, maxHold)))
	if now.Sub(l.lastCut) < cutInterval {
		return
	}
	l.lastCut = now
	if l.limit == 0 {
		l.limit = float64(l.peak)
	}
	l.limit = max(minLimit, cutFactor*l.limit)
	l.peak = l.inFlight
}
