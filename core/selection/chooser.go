// Package selection chooses the upstream for a request. Requests that share a prefix of
// their prompt go to the same model engine as far as its load allows, so that the prefix is
// computed once and then cached there: all processes compute the same order of engines by
// rendezvous hash, without communication. Requests of plain services go to the upstream with
// the smallest share of its slots in use. The package does no I/O and is not safe for
// concurrent use.
package selection

import (
	"slices"
	"time"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Load is an upstream's last report of its own load, and when it was received.
type Load struct {
	Running, Waiting, Slots int
	At                      time.Time
}

const (
	// loadBoundFactor is how far above the mean an engine's load may be before a
	// request goes to the next engine in the order of its prefix.
	loadBoundFactor = 1.25
	// loadSlack is added to the bound, so that requests to an idle fleet stay with their caches.
	// Engines have 64 slots and three to six requests each in a burst. With a slack of 4, a
	// tenth of the requests left their caches without need, and computing shared prefixes again
	// cost 0.020 and 0.022 of the total value on two deployments; with 8 it cost 0.014 and 0.016.
	loadSlack = 8.0
	// loadTTL is how long an upstream's load report is used. Streams last seconds, so that
	// older reports are far from the present load.
	loadTTL = 2 * time.Second
	// avoidTime is how long an upstream that failed a request is avoided while others
	// are available.
	avoidTime = 2 * time.Second
)

// Chooser holds this process's view of the load and failures of upstreams.
type Chooser struct {
	states map[string]*upstreamState
	// prefixes holds the engine to which each shared prefix was last sent, by the ID of the
	// prefix.
	prefixes map[string]sentPrefix
	// incarnations holds the incarnation number of each upstream in the last call of Sync.
	incarnations map[string]int64
}

// upstreamState is the state of one upstream.
type upstreamState struct {
	load Load
	// ownInFlight counts the requests of this process that are in flight there.
	ownInFlight int
	// sent counts all requests that this process has sent to it.
	sent       uint64
	avoidUntil time.Time
	// ownInFlightAtLoad is the value of ownInFlight when load was received.
	ownInFlightAtLoad int
}

// New returns a Chooser without any state of upstreams.
func New() *Chooser {
	return &Chooser{states: make(map[string]*upstreamState), prefixes: make(map[string]sentPrefix), incarnations: make(map[string]int64)}
}

// Choice is an upstream and the reason for its choice.
type Choice struct {
	Upstream routes.Upstream
	// Reason is "prefix", "load", "pace" or "only".
	Reason string
	// Load is the estimated number of requests at the upstream.
	Load float64
	// Idle is set if the upstream is known to have free slots.
	Idle bool
	// CopyFrom is the address of an engine that may have cached more of the prompt, empty if
	// none is known.
	CopyFrom string
	Expectation
}

// Choose returns the engine for a request whose prompt begins with the shared prefix of the
// given ID, or false if there is none. Engines in tried are skipped.
func (c *Chooser) Choose(list []routes.Upstream, prefixID string, tried []string, now time.Time) (Choice, bool) {
	return c.ChooseWithin(list, prefixID, tried, Limits{}, now)
}

// highestScored returns the index of the engine with the highest score for the hash of a prefix
// ID among those that match, or -1 if none does. Of engines with equal scores it returns the first.
func highestScored(list []routes.Upstream, prefixHash uint64, match func(routes.Upstream) bool) int {
	best, highest := -1, uint64(0)
	for i, u := range list {
		score := rendezvous.Score(prefixHash, rendezvous.Hash(u.ID))
		if (best < 0 || score > highest) && match(u) {
			best, highest = i, score
		}
	}
	return best
}

// idleUtilization is the share of slots in use below which an engine starts a request at once.
const idleUtilization = 0.6

// minFreshReports is how many fresh reports of other engines are needed to infer that an
// engine without a fresh report is idle.
const minFreshReports = 4

// idle reports whether an engine has free slots according to its own report or, if that is
// stale, because all engines with fresh reports have free slots. In a large fleet a process
// gets a report of each engine only every few seconds.
func (c *Chooser) idle(u routes.Upstream, list []routes.Upstream, now time.Time) bool {
	if fresh, idle := c.reportedIdle(u, now); fresh {
		return idle
	}
	reports := 0
	for _, other := range list {
		fresh, idle := c.reportedIdle(other, now)
		if fresh && !idle {
			return false
		}
		if fresh {
			reports++
		}
	}
	return reports >= minFreshReports
}

// reportedIdle reports whether an engine's last report is fresh, and whether the engine has
// free slots according to it. Engines count requests as waiting until their prompts are
// processed, even if they have a slot: an engine with waiting requests may still be idle.
func (c *Chooser) reportedIdle(u routes.Upstream, now time.Time) (fresh, idle bool) {
	s := c.states[u.ID]
	if s == nil || s.load.At.IsZero() || now.Sub(s.load.At) >= loadTTL {
		return false, false
	}
	return true, c.estimatedLoad(u, now) < idleUtilization*float64(s.load.Slots)
}

// LeastLoaded returns the upstream with the smallest share of its slots in use, or false if there
// is none. Of those with equal shares, upstreams in nearZone go first, then the one to which this
// process has sent the fewest requests. Upstreams in tried are skipped.
func (c *Chooser) LeastLoaded(list []routes.Upstream, nearZone string, tried []string, now time.Time) (Choice, bool) {
	return c.LeastLoadedWithin(list, nearZone, tried, Limits{}, now)
}

// lessLoaded reports whether LeastLoaded prefers a to b.
func (c *Chooser) lessLoaded(a, b routes.Upstream, nearZone string, limits Limits, now time.Time) bool {
	shareA := c.shareInUse(a, limits, now)
	shareB := c.shareInUse(b, limits, now)
	if shareA != shareB {
		return shareA < shareB
	}
	if nearA, nearB := a.Zone == nearZone, b.Zone == nearZone; nearA != nearB {
		return nearA
	}
	return c.stateOf(a.ID).sent < c.stateOf(b.ID).sent
}

// candidates returns the upstreams that take work and have not been tried, without those that
// failed recently if any others remain.
func (c *Chooser) candidates(list []routes.Upstream, tried []string, now time.Time) []routes.Upstream {
	usable := filtered(list, func(u routes.Upstream) bool { return u.TakesWork(now) && !slices.Contains(tried, u.ID) })
	good := filtered(usable, func(u routes.Upstream) bool {
		s := c.states[u.ID]
		return s == nil || !now.Before(s.avoidUntil)
	})
	if len(good) == 0 {
		return usable
	}
	return good
}

// filtered returns the upstreams of a list that match. If all match, it returns the list itself
// without a copy.
func filtered(list []routes.Upstream, match func(routes.Upstream) bool) []routes.Upstream {
	if !slices.ContainsFunc(list, func(u routes.Upstream) bool { return !match(u) }) {
		return list
	}
	matching := make([]routes.Upstream, 0, len(list))
	for _, u := range list {
		if match(u) {
			matching = append(matching, u)
		}
	}
	return matching
}

// estimatedLoad returns the estimated number of requests at an upstream: its last report, corrected
// by the requests that this process has sent and finished since, or this process's own
// requests in flight if the report is stale.
func (c *Chooser) estimatedLoad(u routes.Upstream, now time.Time) float64 {
	s := c.states[u.ID]
	if s == nil {
		return 0
	}
	age := now.Sub(s.load.At)
	if s.load.At.IsZero() || age >= loadTTL {
		return float64(s.ownInFlight)
	}
	reported := float64(s.load.Running + 2*s.load.Waiting)
	since := float64(s.ownInFlight - s.ownInFlightAtLoad)
	return max(float64(s.ownInFlight), reported+since)
}

// Started records that a request was sent to an upstream.
func (c *Chooser) Started(id string) {
	s := c.stateOf(id)
	s.ownInFlight++
	s.sent++
}

// Ended records the end of a request at an upstream. The count stays at 0 if the request was
// sent to an earlier incarnation, whose requests are no longer counted.
func (c *Chooser) Ended(id string) {
	s := c.stateOf(id)
	s.ownInFlight = max(0, s.ownInFlight-1)
}

// InFlight returns how many requests of this process are in flight at an upstream.
func (c *Chooser) InFlight(id string) int {
	if s := c.states[id]; s != nil {
		return s.ownInFlight
	}
	return 0
}

// RecordLoad records an upstream's load report.
func (c *Chooser) RecordLoad(id string, load Load) {
	s := c.stateOf(id)
	s.load = load
	s.ownInFlightAtLoad = s.ownInFlight
}

// Failed records that an upstream failed a request.
func (c *Chooser) Failed(id string, now time.Time) { c.stateOf(id).avoidUntil = now.Add(avoidTime) }

// stateOf returns the state of an upstream and creates it if there is none.
func (c *Chooser) stateOf(id string) *upstreamState {
	s := c.states[id]
	if s == nil {
		s = &upstreamState{}
		c.states[id] = s
	}
	return s
}

// Sync removes the state of upstreams that are not in list and have no requests in flight, and of
// upstreams with a new incarnation, which has neither the cached prefixes nor the requests of the
// last one.
func (c *Chooser) Sync(list *routes.Upstreams) {
	for id, s := range c.states {
		if s.ownInFlight == 0 && !list.Knows(id) {
			delete(c.states, id)
		}
	}
	for id, incarnation := range c.incarnations {
		if upstream, known := list.Find(id); known && upstream.Incarnation != incarnation {
			c.forgetIncarnation(id)
		}
	}
	clear(c.incarnations)
	list.Each(func(upstream routes.Upstream) { c.incarnations[upstream.ID] = upstream.Incarnation })
}

// forgetIncarnation removes the state of an upstream's last incarnation.
func (c *Chooser) forgetIncarnation(id string) {
	delete(c.states, id)
	for prefixID, sent := range c.prefixes {
		if sent.engine == id {
			delete(c.prefixes, prefixID)
		}
	}
}
