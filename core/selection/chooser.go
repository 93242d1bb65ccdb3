// Package selection chooses the upstream for a request. Requests that share a part
// of their prompt go to the same model engine as far as its load allows, so that the
// part is read once: all processes compute the same order by rendezvous hash,
// without talking. Requests of plain services go to the upstream with most room.
// The package does no I/O and is not safe for concurrent use.
package selection

import (
	"slices"
	"time"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Load is what an engine said of itself, and when.
type Load struct {
	Running, Waiting, Slots int
	At                      time.Time
}

// Limits of the choice.
const (
	// boundedLoad is how far above the mean an engine's load may be before a
	// request goes to the next in the order of its key.
	boundedLoad = 1.25
	// loadSlack is added to the bound, so that an idle fleet keeps to its caches. Engines
	// have 64 slots and some three to six requests each in a burst: with 4 a tenth of the
	// requests left their caches for nothing, and shared parts read again cost 0.020 and
	// 0.022 of worth on two deployments, with 8 0.014 and 0.016.
	loadSlack = 8.0
	// loadLife is how long an engine's word counts in full; streams last seconds,
	// so older words say little.
	loadLife = 2 * time.Second
	// avoidAfterFailure is how long an engine that failed a request is passed over
	// while others can be had.
	avoidAfterFailure = 2 * time.Second
)

// Chooser holds what this process knows of the upstreams.
type Chooser struct {
	engines map[string]*state
	// parts holds where shared parts last went, by their keys.
	parts map[string]sentPart
	// born holds the last start known of each upstream.
	born map[string]int64
}

// state is what is known of one engine.
type state struct {
	load Load
	own  int
	// sent counts all requests of this process.
	sent  uint64
	avoid time.Time
	// ownAtLoad is how many of this process's requests ran when load came in.
	ownAtLoad int
}

// New returns a Chooser that knows nothing.
func New() *Chooser {
	return &Chooser{engines: make(map[string]*state), parts: make(map[string]sentPart), born: make(map[string]int64)}
}

// Choice is an engine and why it was taken.
type Choice struct {
	Upstream routes.Upstream
	// Reason is "prefix", "load" or "only".
	Reason string
	// Load is the estimate of the requests at the engine.
	Load float64
	// Idle is set if the upstream is known to have slots to spare.
	Idle bool
	// CopyFrom is the address of an engine that may keep more of the prompt, empty if none
	// is known.
	CopyFrom string
}

// Choose returns the engine for a request whose shared part has a key, or false if
// there is none. Engines in tried are left out.
func (c *Chooser) Choose(list []routes.Upstream, key string, tried []string, now time.Time) (Choice, bool) {
	candidates := c.candidates(list, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var total float64
	for _, u := range candidates {
		total += c.estimate(u, now)
	}
	bound := boundedLoad*total/float64(len(candidates)) + loadSlack
	hashed := rendezvous.Hash(key)
	first := firstOf(candidates, hashed, func(routes.Upstream) bool { return true })
	within := firstOf(candidates, hashed, func(u routes.Upstream) bool { return c.estimate(u, now) <= bound })
	chosen, reason := within, "prefix"
	switch {
	case within < 0:
		chosen, reason = first, "only"
	case within != first:
		reason = "load"
	}
	u := candidates[chosen]
	return Choice{Upstream: u, Reason: reason, Load: c.estimate(u, now), Idle: within >= 0 && c.idle(u, list, now), CopyFrom: c.keeper(candidates, key, u, now)}, true
}

// firstOf returns the place of the engine with the highest score for a key among those that
// match, -1 if none does. Of equal scores the one that stands first counts.
func firstOf(list []routes.Upstream, key uint64, match func(routes.Upstream) bool) int {
	best, highest := -1, uint64(0)
	for i, u := range list {
		score := rendezvous.Score(key, rendezvous.Hash(u.ID))
		if (best < 0 || score > highest) && match(u) {
			best, highest = i, score
		}
	}
	return best
}

// idleShare is the part of its slots up to which an engine takes a request at once.
const idleShare = 0.6

// fewestWords is how many other engines' words are needed to say something of one that
// has said nothing lately.
const fewestWords = 4

// idle tells whether an engine has slots to spare: by its own word, or, where there is
// none of late, if by the words of all others that spoke lately they have. A process of
// a large fleet hears from each engine only every few seconds.
func (c *Chooser) idle(u routes.Upstream, list []routes.Upstream, now time.Time) bool {
	if fresh, idle := c.saidIdle(u, now); fresh {
		return idle
	}
	words := 0
	for _, other := range list {
		fresh, idle := c.saidIdle(other, now)
		if fresh && !idle {
			return false
		}
		if fresh {
			words++
		}
	}
	return words >= fewestWords
}

// saidIdle tells whether an engine's last word is fresh, and whether by it the engine has
// slots to spare. Requests whose prompts are not read yet count as waiting, also where
// they have a slot: an engine at which some wait may still be idle.
func (c *Chooser) saidIdle(u routes.Upstream, now time.Time) (fresh, idle bool) {
	s := c.engines[u.ID]
	if s == nil || s.load.At.IsZero() || now.Sub(s.load.At) >= loadLife {
		return false, false
	}
	return true, c.estimate(u, now) < idleShare*float64(s.load.Slots)
}

// Least returns the upstream with the smallest share of its slots in use, or false
// if there is none. Among equals one of the zone near goes first, then the one that
// had the fewest requests of this process.
func (c *Chooser) Least(list []routes.Upstream, near string, tried []string, now time.Time) (Choice, bool) {
	candidates := c.candidates(list, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := candidates[0]
	for _, u := range candidates[1:] {
		if c.lighter(u, best, near, now) {
			best = u
		}
	}
	return Choice{Upstream: best, Reason: "load", Load: c.estimate(best, now)}, true
}

// lighter tells whether a is to be used before b.
func (c *Chooser) lighter(a, b routes.Upstream, near string, now time.Time) bool {
	useA := c.estimate(a, now) / float64(max(1, a.Slots))
	useB := c.estimate(b, now) / float64(max(1, b.Slots))
	if useA != useB {
		return useA < useB
	}
	if nearA, nearB := a.Zone == near, b.Zone == near; nearA != nearB {
		return nearA
	}
	return c.of(a.ID).sent < c.of(b.ID).sent
}

// candidates returns the engines that may get a request: the untried ones, without
// those that failed lately if any others are left.
func (c *Chooser) candidates(list []routes.Upstream, tried []string, now time.Time) []routes.Upstream {
	usable := filtered(list, func(u routes.Upstream) bool { return u.TakesWork(now) && !slices.Contains(tried, u.ID) })
	good := filtered(usable, func(u routes.Upstream) bool {
		s := c.engines[u.ID]
		return s == nil || !now.Before(s.avoid)
	})
	if len(good) == 0 {
		return usable
	}
	return good
}

// filtered returns those of a list that match; the list itself, uncopied, if all do.
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

// estimate returns how many requests an engine has: what it last said, changed by
// what this process has sent and seen end since. An old word fades into this
// process's own count.
func (c *Chooser) estimate(u routes.Upstream, now time.Time) float64 {
	s := c.engines[u.ID]
	if s == nil {
		return 0
	}
	age := now.Sub(s.load.At)
	if s.load.At.IsZero() || age >= loadLife {
		return float64(s.own)
	}
	said := float64(s.load.Running + 2*s.load.Waiting)
	since := float64(s.own - s.ownAtLoad)
	return max(float64(s.own), said+since)
}

// Started records a request sent to an engine.
func (c *Chooser) Started(id string) {
	s := c.of(id)
	s.own++
	s.sent++
}

// Ended records the end of a request at an engine. One that began before the engine
// started again is no longer counted.
func (c *Chooser) Ended(id string) {
	s := c.of(id)
	s.own = max(0, s.own-1)
}

// Open returns how many requests of this process are open at an engine.
func (c *Chooser) Open(id string) int {
	if s := c.engines[id]; s != nil {
		return s.own
	}
	return 0
}

// Heard records what an engine said of its load.
func (c *Chooser) Heard(id string, load Load) {
	s := c.of(id)
	s.load = load
	s.ownAtLoad = s.own
}

// Failed records that an engine failed a request.
func (c *Chooser) Failed(id string, now time.Time) { c.of(id).avoid = now.Add(avoidAfterFailure) }

// of returns the state of an engine.
func (c *Chooser) of(id string) *state {
	s := c.engines[id]
	if s == nil {
		s = &state{}
		c.engines[id] = s
	}
	return s
}

// Keep forgets all engines but those in list, and what was known of those that started
// again: they hold no parts and no requests of before.
func (c *Chooser) Keep(list *routes.Upstreams) {
	for id, s := range c.engines {
		if s.own == 0 && !list.Knows(id) {
			delete(c.engines, id)
		}
	}
	for id, born := range c.born {
		if upstream, known := list.Find(id); known && upstream.Born != born {
			c.startedAgain(id)
		}
	}
	clear(c.born)
	list.Each(func(upstream routes.Upstream) { c.born[upstream.ID] = upstream.Born })
}

// startedAgain forgets what is known of an engine.
func (c *Chooser) startedAgain(id string) {
	delete(c.engines, id)
	for key, part := range c.parts {
		if part.engine == id {
			delete(c.parts, key)
		}
	}
}
