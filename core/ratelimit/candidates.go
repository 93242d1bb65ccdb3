package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core/rendezvous"
)

const (
	// maxSilent is the number of candidates in a row that don't respond after which a gateway takes itself to be
	// cut off, and is its own coordinator.
	maxSilent = 4
	// probeInterval is how often a candidate that did not respond is tried again.
	probeInterval = time.Second
)

// Candidate is a gateway that can be the coordinator of services.
type Candidate struct {
	Name string
	// Incarnation identifies one run of the gateway.
	Incarnation string
}

// Candidates is what one gateway knows of those that can be coordinators. It is not safe for concurrent use.
type Candidates struct {
	self    Candidate
	leaving bool
	// others are the other gateways.
	others []Candidate
	// ranked caches the order of all candidates by service.
	ranked map[string][]Candidate
	// silent holds the incarnations that did not respond, with the time of their next probe.
	silent map[string]time.Duration
}

// NewCandidates returns the Candidates of a gateway that knows no other.
func NewCandidates(self Candidate) *Candidates {
	return &Candidates{self: self, ranked: make(map[string][]Candidate), silent: make(map[string]time.Duration)}
}

// SetOthers replaces the other gateways. The caller must not change the slice afterwards.
func (c *Candidates) SetOthers(others []Candidate) {
	c.others = others
	clear(c.ranked)
	for incarnation := range c.silent {
		if !slices.ContainsFunc(others, func(o Candidate) bool { return o.Incarnation == incarnation }) {
			delete(c.silent, incarnation)
		}
	}
}

// Leave makes the gateway choose others, if it knows any.
func (c *Candidates) Leave() {
	c.leaving = true
	clear(c.ranked)
}

// Count returns the number of gateways, this one included.
func (c *Candidates) Count() int { return len(c.others) + 1 }

// Choose returns the coordinator of a service: the first candidate that responds, or this gateway if
// maxSilent candidates before it don't.
func (c *Candidates) Choose(service string) Candidate {
	silent := 0
	for _, candidate := range c.rank(service) {
		if _, isSilent := c.silent[candidate.Incarnation]; !isSilent {
			return candidate
		}
		silent++
		if silent == maxSilent {
			break
		}
	}
	return c.self
}

// rank returns the candidates for a service in the order of their rendezvous scores.
func (c *Candidates) rank(service string) []Candidate {
	if ranked, known := c.ranked[service]; known {
		return ranked
	}
	ranked := slices.Clone(c.others)
	if !c.leaving {
		ranked = append(ranked, c.self)
	}
	key := rendezvous.Hash("rate limits of " + service)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		scoreA, scoreB := rendezvous.Score(key, rendezvous.Hash(a.Name)), rendezvous.Score(key, rendezvous.Hash(b.Name))
		return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a.Name, b.Name))
	})
	c.ranked[service] = ranked
	return ranked
}

// Silent records that a candidate did not respond.
func (c *Candidates) Silent(now time.Duration, incarnation string) {
	c.silent[incarnation] = now + probeInterval
}

// Responded records that a candidate responded.
func (c *Candidates) Responded(incarnation string) { delete(c.silent, incarnation) }

// Probe returns the silent candidate of a service that is to be tried now, and false if there is none.
func (c *Candidates) Probe(now time.Duration, service string) (Candidate, bool) {
	chosen := c.Choose(service)
	for _, candidate := range c.rank(service) {
		if candidate == chosen {
			break
		}
		if due, isSilent := c.silent[candidate.Incarnation]; isSilent && now >= due {
			c.silent[candidate.Incarnation] = now + probeInterval
			return candidate, true
		}
	}
	return Candidate{}, false
}
