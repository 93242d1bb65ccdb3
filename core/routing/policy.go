package routing

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/latency"
)

// Round is the input of a policy for one decision. A decision takes one or more steps; each
// step probes some upstreams and then evaluates the replies of all steps so far.
type Round struct {
	Query  Query
	Picker *Picker
	Table  *Table
	Random *rand.Rand
	Now    time.Time
	// Usual is the estimate for the service over all its upstreams.
	Usual latency.Estimate
	// Step is the number of the present step, from zero.
	Step int
	// Results are the results of the probes of all steps so far.
	Results []ProbeResult
}

// ProbePlan lists the upstreams to probe before a decision.
type ProbePlan struct {
	// Upstreams are probed in parallel; the decision waits for them.
	Upstreams []Upstream
	// Age and Uses allow a remembered reply instead of a probe if it is at most Age old and
	// fewer than Uses choices have relied on it.
	Age  time.Duration
	Uses int
	// Background upstreams are probed without waiting for them.
	Background []Upstream
}

// Decision is the result of a policy for one step of a decision.
type Decision struct {
	// OK is true if Chosen is to be used.
	OK     bool
	Chosen Candidate
	Reason string
	// Spilled is set if Chosen is outside the zone of the entry.
	Spilled bool
	// Others are the candidates that were not chosen, each with its reason.
	Others []Candidate
	// Widen requests another step, because the replies so far are not good enough. If that
	// step probes no upstream, this decision stands.
	Widen bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// Policy chooses upstreams. An implementation belongs to one entry, and its calls are
// serialised with those of the Table.
type Policy interface {
	Name() string
	// Plan returns the upstreams to probe in this step.
	Plan(r *Round) ProbePlan
	// Decide chooses an upstream based on the replies.
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

// NewPolicy returns the policy with the given name. The error has code Invalid.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case Probe2:
		return probe2{}, nil
	case ProbePool:
		return probePool{}, nil
	case Random:
		return baseline{name: Random, pick: pickRandom}, nil
	case RoundRobin:
		return baseline{name: RoundRobin, pick: newRoundRobin()}, nil
	case LeastLocal:
		return baseline{name: LeastLocal, pick: pickLeastLocal}, nil
	default:
		return nil, fault.New(fault.Invalid, "routing.policy", name, "unknown policy")
	}
}

// probed reports whether an earlier step has probed an upstream.
func (r *Round) probed(id core.UpstreamID) bool {
	for _, result := range r.Results {
		if result.Upstream.ID == id {
			return true
		}
	}
	return false
}

// Eligible returns the upstreams of a tier that may be probed for the query now: those that
// are neither suspected nor known to be draining or stalled.
func (r *Round) Eligible(tier Tier) []Upstream {
	return r.eligible(r.Picker.queryGroup(r.Query), tier)
}

// eligible returns the upstreams of a tier of g that may be probed now.
func (r *Round) eligible(g *group, tier Tier) []Upstream {
	return r.filter(g.tiers[tier], func(u Upstream) bool {
		return !r.Table.Suspected(u.ID) && !r.Table.unavailable(u.ID, r.Now)
	})
}

// avoided returns the upstreams of all tiers that eligible leaves out, nearest tier first.
// They are the last resort: suspicion alone must not make a request fail.
func (r *Round) avoided(g *group) []Upstream {
	var list []Upstream
	for tier := range tierCount {
		list = append(list, r.filter(g.tiers[tier], func(u Upstream) bool {
			return r.Table.Suspected(u.ID) || r.Table.unavailable(u.ID, r.Now)
		})...)
	}
	return list
}

// filter returns those upstreams that the query does not exclude, that no earlier step has
// probed and for which keep returns true.
func (r *Round) filter(upstreams []Upstream, keep func(Upstream) bool) []Upstream {
	var list []Upstream
	for _, u := range upstreams {
		if !r.Query.excludes(u.ID) && !r.probed(u.ID) && keep(u) {
			list = append(list, u)
		}
	}
	return list
}

// Sample draws at most n upstreams from list at random. It changes the order of list.
func (r *Round) Sample(list []Upstream, n int) []Upstream {
	n = min(n, len(list))
	for i := range n {
		j := i + r.Random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
