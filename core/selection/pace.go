package selection

import (
	"slices"
	"time"

	"acaciawinch/core/pace"
	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Limits are what a request needs of the pace of its upstream.
type Limits struct {
	// Paces holds the paces of the service's upstreams; nil if the pace does not matter.
	Paces *pace.Table
	pace.Limits
}

// Expectation is what the pace of the chosen upstream lets expect, and how it affected the choice.
type Expectation struct {
	// FirstEvent is the expected time to the first event, Pause the expected longest pause; 0 if unknown.
	FirstEvent, Pause time.Duration
	// Excluded is the number of upstreams that were not chosen from because of their pace.
	Excluded int
	// Trial is set if the upstream would be excluded and gets the request to be measured again.
	Trial bool
}

// PaceKey returns the key of an upstream in a pace.Table.
func PaceKey(u routes.Upstream) pace.Engine {
	return pace.Engine{ID: u.ID, Incarnation: u.Incarnation}
}

// ChooseWithin is Choose for a request with limits. An engine is excluded if it is expected to exceed a limit
// while another one that is within the load bound meets all. The others are chosen from as by Choose.
func (c *Chooser) ChooseWithin(list []routes.Upstream, prefixID string, tried []string, limits Limits, now time.Time) (Choice, bool) {
	candidates := c.candidates(list, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	bound := c.loadBound(candidates, now)
	allowed, due := c.allowed(candidates, limits, bound, now)
	choice := c.chooseFrom(candidates, allowed, list, prefixID, bound, now)
	choice.Excluded = len(candidates) - len(allowed)
	choice.Trial = slices.Contains(due, choice.Upstream.ID)
	if limits.Paces != nil {
		choice.FirstEvent, choice.Pause, _ = limits.Paces.Expected(PaceKey(choice.Upstream), limits.Tokens, now)
	}
	return choice, true
}

// loadBound returns the load up to which an engine gets the requests of its prefixes.
func (c *Chooser) loadBound(candidates []routes.Upstream, now time.Time) float64 {
	var total float64
	for _, u := range candidates {
		total += c.estimatedLoad(u, now)
	}
	return loadBoundFactor*total/float64(len(candidates)) + loadSlack
}

// chooseFrom returns the choice among the allowed candidates. An engine that is not allowed may still be the one to
// copy cached parts of the prompt from.
func (c *Chooser) chooseFrom(candidates, allowed, list []routes.Upstream, prefixID string, bound float64, now time.Time) Choice {
	prefixHash := rendezvous.Hash(prefixID)
	first := highestScored(candidates, prefixHash, func(routes.Upstream) bool { return true })
	u, reason := candidates[first], "prefix"
	if len(allowed) < len(candidates) {
		firstAllowed := allowed[highestScored(allowed, prefixHash, func(routes.Upstream) bool { return true })]
		if firstAllowed.ID != u.ID {
			u, reason = firstAllowed, "pace"
		}
	}
	within := highestScored(allowed, prefixHash, func(u routes.Upstream) bool { return c.estimatedLoad(u, now) <= bound })
	switch {
	case within < 0:
		u, reason = candidates[first], "only"
	case allowed[within].ID != u.ID:
		u, reason = allowed[within], "load"
	}
	return Choice{Upstream: u, Reason: reason, Load: c.estimatedLoad(u, now), Idle: within >= 0 && c.idle(u, list, now), CopyFrom: c.copySource(candidates, prefixID, u, now)}
}

// allowed returns the engines that a request may be sent to, and the IDs of those among them that would be
// excluded but are due to be measured again. All are allowed if no engine within the load bound meets the limits:
// the others would get more than they can serve.
func (c *Chooser) allowed(candidates []routes.Upstream, limits Limits, bound float64, now time.Time) (allowed []routes.Upstream, due []string) {
	paces := limits.Paces
	if paces == nil || !paces.Uneven(now) {
		return candidates, nil
	}
	exceeds := make([]bool, len(candidates))
	alternative := false
	for i, u := range candidates {
		exceeds[i] = paces.Exceeds(PaceKey(u), limits.Limits, now)
		alternative = alternative || !exceeds[i] && c.estimatedLoad(u, now) <= bound && paces.Meets(PaceKey(u), limits.Limits, now)
	}
	if !alternative {
		return candidates, nil
	}
	for i, u := range candidates {
		if !exceeds[i] {
			allowed = append(allowed, u)
			continue
		}
		paces.Excluded(PaceKey(u), now)
		if paces.TrialDue(PaceKey(u), limits.Limits, now) {
			allowed, due = append(allowed, u), append(due, u.ID)
		}
	}
	return allowed, due
}

// LeastLoadedWithin is LeastLoaded for a service whose upstreams differ in pace: the share of the slots in use of
// a slow upstream counts for more.
func (c *Chooser) LeastLoadedWithin(list []routes.Upstream, nearZone string, tried []string, limits Limits, now time.Time) (Choice, bool) {
	candidates := c.candidates(list, tried, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := candidates[0]
	for _, u := range candidates[1:] {
		if c.lessLoaded(u, best, nearZone, limits, now) {
			best = u
		}
	}
	return Choice{Upstream: best, Reason: "load", Load: c.estimatedLoad(best, now)}, true
}

// shareInUse returns the share of an upstream's slots that is in use, weighted by its pace.
func (c *Chooser) shareInUse(u routes.Upstream, limits Limits, now time.Time) float64 {
	share := c.estimatedLoad(u, now) / float64(max(1, u.Slots))
	if limits.Paces == nil {
		return share
	}
	return share * limits.Paces.Weight(PaceKey(u), now)
}
