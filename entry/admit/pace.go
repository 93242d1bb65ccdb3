package admit

import (
	"slices"
	"time"
)

// Constants of the pace. A cut of a tenth loses little of the throughput while
// the upstreams' queues are full, and is won back within as many answers as the
// limit counts.
const (
	// cutShare is what is left of the limit after a cut.
	cutShare = 0.9
	// cutEvery is the shortest time between two cuts: the requests that are on
	// their way when the first comes would be refused too.
	cutEvery = 200 * time.Millisecond
	// paceLife is how long the limit outlives the last sign of overload.
	paceLife = 10 * time.Second
	// nearLimit is the part of the limit from which on answers raise it: what is
	// not used teaches nothing.
	nearLimit = 0.8
	// leastLimit is where cuts end: below it a burst of a few requests would be
	// refused for one sign of overload.
	leastLimit = 2
	// maxHold is the longest time for which a refused request keeps its place.
	maxHold = time.Second
	// calm is how long without a sign of overload the limit grows faster, by one
	// for each answer.
	calm = time.Second
)

// pace bounds the requests in flight of one workspace and pipeline by what the
// upstreams take in time. It is an additive increase, multiplicative decrease: a
// request that was refused for want of time behind its admission cuts the limit;
// answers raise it. So most requests beyond the capacity are refused at
// once, before they cost a pass, and not in the queue of the last stage.
//
// A request that was refused behind its admission keeps its place for the time
// that it was told to stay away. Refusals are over much sooner than answers: if
// they gave back their places at once, more requests would be refused behind
// their admission the fewer are answered.
type pace struct {
	inFlight int
	// held holds until when refused requests keep their places.
	held []time.Time
	// peak is the most that were in flight since the last cut.
	peak int
	// limit is zero while there is none.
	limit      float64
	lastCut    time.Time
	lastSign   time.Time
	retryAfter time.Duration
}

// allows tells whether one more request may enter.
func (p *pace) allows(now time.Time) bool {
	if p.limit > 0 && now.Sub(p.lastSign) > paceLife {
		p.limit = 0
		p.peak = p.inFlight
	}
	p.held = slices.DeleteFunc(p.held, func(until time.Time) bool { return !now.Before(until) })
	return p.limit == 0 || float64(p.inFlight+len(p.held)+1) <= p.limit
}

// enter counts a request in and tells whether it used the limit.
func (p *pace) enter() (near bool) {
	p.inFlight++
	p.peak = max(p.peak, p.inFlight)
	return p.limit > 0 && float64(p.inFlight) >= nearLimit*p.limit
}

// answered raises the limit by one for as many answers as it counts. Near tells
// that the request used the limit.
func (p *pace) answered(now time.Time, near bool) {
	switch {
	case p.limit == 0 || !near:
	case now.Sub(p.lastSign) > calm:
		p.limit++
	default:
		p.limit += 1 / p.limit
	}
}

// overloaded cuts the limit, or sets the first one by the most that were in flight.
func (p *pace) overloaded(now time.Time, retryAfter time.Duration) {
	p.lastSign = now
	p.retryAfter = retryAfter
	p.held = append(p.held, now.Add(min(retryAfter, maxHold)))
	if now.Sub(p.lastCut) < cutEvery {
		return
	}
	p.lastCut = now
	if p.limit == 0 {
		p.limit = float64(p.peak)
	}
	p.limit = max(leastLimit, cutShare*p.limit)
	p.peak = p.inFlight
}
