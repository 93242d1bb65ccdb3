// Package herd simulates many entries that choose among the same upstreams, each
// on its own. It shows what the staleness of their knowledge does to the
// upstreams' queues, at the letter's size and with a fixed seed.
package herd

import (
	"math"
	"time"

	"acaciawinch/core/routing"
)

// Case is one way to choose, and what it is up against.
type Case struct {
	Name   string
	Policy func() routing.Policy
	// Push is how often the loads of all upstreams are given to all entries,
	// zero for never.
	Push time.Duration
	// Slow makes the first upstream ten times slower than the others.
	Slow bool
	// Affinity tells the policy each request's prefix.
	Affinity bool
}

// Figures are what a case comes to.
type Figures struct {
	// MaxOverMean is the most work that one upstream held over the mean, averaged
	// over the moments at which it was sampled.
	MaxOverMean float64
	// WaitP50 and WaitP99 are times in the upstreams' queues.
	WaitP50, WaitP99 time.Duration
	// Probes is the number of probes for each choice; pushes don't count.
	Probes float64
	// First is the share of requests that went to the first upstream.
	First float64
	// Cached is the share of requests whose prefix the upstream had lately seen.
	Cached float64
}

// Named returns a case of one of routing's policies.
func Named(policy string) Case {
	return Case{Name: policy, Policy: func() routing.Policy {
		p, err := routing.NewPolicy(policy)
		if err != nil {
			panic(err) // a name that this program's own code got wrong
		}
		return p
	}}
}

// PushedToAll returns a case in which entries take the least loaded of all
// upstreams, by loads that are pushed to them.
func PushedToAll(name string, every time.Duration) Case {
	return Case{Name: name, Push: every, Policy: func() routing.Policy { return pushed{choices: Upstreams} }}
}

// PushedToTwo is PushedToAll with two upstreams drawn at random.
func PushedToTwo(name string, every time.Duration) Case {
	return Case{Name: name, Push: every, Policy: func() routing.Policy { return pushed{choices: 2} }}
}

// Cases returns all ways that docs/design/routing.md compares.
func Cases() []Case {
	cases := []Case{
		PushedToAll("pushed 1 s, least of all", time.Second),
		PushedToTwo("pushed 1 s, least of two", time.Second),
		PushedToAll("pushed 100 ms, least of all", 100*time.Millisecond),
		PushedToTwo("pushed 100 ms, least of two", 100*time.Millisecond),
	}
	policies := []string{routing.Probe2, routing.ProbePool, routing.Random, routing.RoundRobin, routing.LeastLocal}
	for _, policy := range policies {
		cases = append(cases, Named(policy))
	}
	for _, policy := range policies {
		c := Named(policy)
		c.Name += ", one 10 times slow"
		c.Slow = true
		cases = append(cases, c)
	}
	warm := Named(routing.Probe2)
	warm.Name += " with affinity"
	warm.Affinity = true
	return append(cases, warm)
}

// pushed chooses from loads that were given to the entry some time ago.
type pushed struct {
	choices int
}

// Name implements routing.Policy.
func (pushed) Name() string { return "pushed" }

// Ask implements routing.Policy: whatever is remembered will do.
func (p pushed) Ask(r *routing.Round) routing.Ask {
	drawn := r.Sample(r.Eligible(routing.OwnZone), p.choices)
	return routing.Ask{Upstreams: drawn, Age: math.MaxInt64, Uses: math.MaxInt}
}

// Decide implements routing.Policy.
func (pushed) Decide(r *routing.Round) routing.Decision { return r.DecideByScore() }
