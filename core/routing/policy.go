package routing

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/latency"
)

// Round is all that a policy reads for one step of one decision.
type Round struct {
	Query  Query
	Picker *Picker
	Table  *Table
	Random *rand.Rand
	Now    time.Time
	// Usual is what is expected of the service over all its upstreams.
	Usual latency.Estimate
	// Number counts the steps of the decision from zero.
	Number int
	// Answers are those of all steps so far.
	Answers []Answer
}

// Ask says what has to be known before a decision.
type Ask struct {
	// Upstreams are asked in parallel; the decision waits for them.
	Upstreams []Upstream
	// Age allows an answer remembered for at most so long instead of a probe,
	// if at most Uses choices have rested on it.
	Age  time.Duration
	Uses int
	// Background upstreams are probed without waiting for them.
	Background []Upstream
}

// Decision is what a policy made of the answers.
type Decision struct {
	// OK is true if Chosen is to be taken.
	OK     bool
	Chosen Weighed
	Reason string
	// Spilled is set if Chosen lies outside the own zone.
	Spilled bool
	// Others were weighed and not taken, each with its reason.
	Others []Weighed
	// Widen asks for another step: the answers so far are not good enough. If
	// that step asks nobody, this decision stands.
	Widen bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Policy chooses upstreams. Implementations belong to one entry; their calls
// are serialised with those of the Table.
type Policy interface {
	Name() string
	// Ask names the upstreams to ask in this step.
	Ask(r *Round) Ask
	// Decide picks from the answers.
	Decide(r *Round) Decision
}

// Names of the policies.
const (
	Probe2     = "probe2"
	ProbePool  = "probe_pool"
	Random     = "random"
	RoundRobin = "round_robin"
	LeastLocal = "least_local"
)

// NewPolicy returns the policy with a name. The error has code Invalid.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case Probe2:
		return probe2{}, nil
	case ProbePool:
		return probePool{}, nil
	case Random:
		return blind{name: Random, pick: pickRandom}, nil
	case RoundRobin:
		return blind{name: RoundRobin, pick: newRoundRobin()}, nil
	case LeastLocal:
		return blind{name: LeastLocal, pick: pickLeastLocal}, nil
	default:
		return nil, fault.New(fault.Invalid, "routing.policy", name, "there is no such policy")
	}
}

// asked tells whether an earlier step has asked an upstream.
func (r *Round) asked(id core.UpstreamID) bool {
	for _, answer := range r.Answers {
		if answer.Upstream.ID == id {
			return true
		}
	}
	return false
}

// Eligible returns the upstreams of a tier that may be asked for the query now:
// those that are neither suspected nor known to refuse.
func (r *Round) Eligible(tier Tier) []Upstream {
	return r.eligible(r.Picker.queryGroup(r.Query), tier)
}

// eligible returns the upstreams of a tier of g that may be asked now.
func (r *Round) eligible(g *group, tier Tier) []Upstream {
	return r.filter(g.tiers[tier], func(u Upstream) bool {
		return !r.Table.Suspected(u.ID) && !r.Table.refusing(u.ID, r.Now)
	})
}

// avoided returns the upstreams of all tiers that eligible leaves out, nearest
// tier first. They are the last resort: suspicion alone refuses nobody.
func (r *Round) avoided(g *group) []Upstream {
	var list []Upstream
	for tier := range tierCount {
		list = append(list, r.filter(g.tiers[tier], func(u Upstream) bool {
			return r.Table.Suspected(u.ID) || r.Table.refusing(u.ID, r.Now)
		})...)
	}
	return list
}

// filter returns the upstreams that the query allows, that have not been asked
// yet and that keep accepts.
func (r *Round) filter(upstreams []Upstream, keep func(Upstream) bool) []Upstream {
	var list []Upstream
	for _, u := range upstreams {
		if !r.Query.excludes(u.ID) && !r.asked(u.ID) && keep(u) {
			list = append(list, u)
		}
	}
	return list
}

// Sample draws at most n upstreams from list, whose order it changes.
func (r *Round) Sample(list []Upstream, n int) []Upstream {
	n = min(n, len(list))
	for i := range n {
		j := i + r.Random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
