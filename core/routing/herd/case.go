// Package herd simulates many entries that choose among the same upstreams, each
// on its own. It shows how stale loads make a thundering herd: entries that all
// see the same upstream as the least loaded one fill its queue. The simulation has
// the size the project is designed for and a fixed seed.
package herd

import (
	"math"
	"time"

	"acaciawinch/core/routing"
)

// Case is one way to choose upstreams, and its conditions.
type Case struct {
	Name   string
	Policy func() routing.Policy
	// Push is the interval at which the loads of all upstreams are given to all entries,
	// zero for never.
	Push time.Duration
	// Slow makes the first upstream ten times slower than the others.
	Slow bool
	// Affinity gives the policy the prefix of each request.
	Affinity bool
}

// Results are the results of a case.
type Results struct {
	// MaxOverMean is the ratio of the most pending work of one upstream to the mean,
	// averaged over all samples.
	MaxOverMean float64
	// WaitP50 and WaitP99 are times in the queues of the upstreams.
	WaitP50, WaitP99 time.Duration
	// Probes is the number of probes per choice; pushed loads do not count.
	Probes float64
	// First is the share of requests that went to the first upstream.
	First float64
	// Cached is the share of requests whose prefix the upstream had cached.
	Cached float64
}

// PolicyCase returns the case of a policy of package routing.
func PolicyCase(policy string) Case {
	return Case{Name: policy, Policy: func() routing.Policy {
		p, err := routing.NewPolicy(policy)
		if err != nil {
			panic(err) // only a wrong constant in this program causes it
		}
		return p
	}}
}

// PushedLeastOfAll returns a case in which entries choose the least loaded of all
// upstreams, by loads that are pushed to them.
func PushedLeastOfAll(name string, every time.Duration) Case {
	return Case{Name: name, Push: every, Policy: func() routing.Policy { return pushed{sampleSize: Upstreams} }}
}

// PushedLeastOfTwo is like PushedLeastOfAll but compares only two upstreams drawn at
// random.
func PushedLeastOfTwo(name string, every time.Duration) Case {
	return Case{Name: name, Push: every, Policy: func() routing.Policy { return pushed{sampleSize: 2} }}
}

// Cases returns all cases that docs/design/routing.md compares.
func Cases() []Case {
	cases := []Case{
		PushedLeastOfAll("pushed 1 s, least of all", time.Second),
		PushedLeastOfTwo("pushed 1 s, least of two", time.Second),
		PushedLeastOfAll("pushed 100 ms, least of all", 100*time.Millisecond),
		PushedLeastOfTwo("pushed 100 ms, least of two", 100*time.Millisecond),
	}
	policies := []string{routing.Probe2, routing.ProbePool, routing.Random, routing.RoundRobin, routing.LeastLocal}
	for _, policy := range policies {
		cases = append(cases, PolicyCase(policy))
	}
	for _, policy := range policies {
		c := PolicyCase(policy)
		c.Name += ", one 10 times slow"
		c.Slow = true
		cases = append(cases, c)
	}
	warm := PolicyCase(routing.Probe2)
	warm.Name += " with affinity"
	warm.Affinity = true
	return append(cases, warm)
}

// pushed is a policy that chooses by loads that were given to the entry some time ago.
type pushed struct {
	// sampleSize is how many upstreams a decision compares.
	sampleSize int
}

// Name implements routing.Policy.
func (pushed) Name() string { return "pushed" }

// Plan implements routing.Policy. It accepts remembered replies of any age.
func (p pushed) Plan(r *routing.Round) routing.ProbePlan {
	drawn := r.Sample(r.Eligible(routing.OwnZone), p.sampleSize)
	return routing.ProbePlan{Upstreams: drawn, Age: math.MaxInt64, Uses: math.MaxInt}
}

// Decide implements routing.Policy.
func (pushed) Decide(r *routing.Round) routing.Decision { return r.DecideByScore() }
