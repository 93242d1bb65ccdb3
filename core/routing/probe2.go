package routing

import "time"

// Numbers of upstreams to probe.
const (
	// firstProbes is how many upstreams are probed in the first step. Two give most of the
	// benefit of probing all, at the network cost of two.
	firstProbes = 2
	// warmProbes is how many of the first upstreams in a prefix's ranking are probed; one
	// more is drawn at random for comparison.
	warmProbes = 2
	// widerProbes is how many upstreams are probed per tier in each later step.
	widerProbes = 2
	// lastResortProbes is how many avoided upstreams are tried as a last resort.
	lastResortProbes = 3
	// maxSteps bounds the probing steps of one decision.
	maxSteps = 3
)

// probe2 probes two upstreams at the time of the decision and chooses the one that is
// expected to finish first. It starts in the zone of the entry. It probes other zones when
// the wait in its own exceeds their extra latency, when the candidates of its own are
// unusually slow, or when none of them can take the work.
type probe2 struct{}

// Name implements Policy.
func (probe2) Name() string { return Probe2 }

// Plan implements Policy.
func (probe2) Plan(r *Round) ProbePlan {
	var list []Upstream
	switch r.Step {
	case 0:
		list = r.firstProbeTargets()
	case 1:
		list = r.widerProbeTargets()
	case 2:
		list = r.lastResortTargets()
	}
	return ProbePlan{Upstreams: list}
}

// Decide implements Policy.
func (probe2) Decide(r *Round) Decision {
	d := r.DecideByScore()
	d.Widen = r.Step+1 < maxSteps && r.shouldWiden(d)
	return d
}

// firstProbeTargets returns the upstreams to probe in the first step. They are drawn from the
// own zone, and from farther tiers if the own zone has too few.
func (r *Round) firstProbeTargets() []Upstream {
	own := r.Eligible(OwnZone)
	var list []Upstream
	if r.hasAffinity() {
		list = r.warmProbeTargets(own)
	} else {
		list = r.Sample(own, firstProbes)
	}
	for tier := OwnRegion; tier < tierCount && len(list) < firstProbes; tier++ {
		list = append(list, r.Sample(r.Eligible(tier), firstProbes-len(list))...)
	}
	if len(list) == 0 {
		return r.lastResortTargets()
	}
	return list
}

// warmProbeTargets returns the upstreams of the own zone to probe for a prompt prefix: the
// first ones in the prefix's ranking that are within the load bound, and one other drawn at
// random.
func (r *Round) warmProbeTargets(own []Upstream) []Upstream {
	list := r.withinBound(rank(prefixKey(r.Query), own), warmProbes)
	var others []Upstream
	for _, u := range own {
		if !contains(list, u) {
			others = append(others, u)
		}
	}
	return append(list, r.Sample(others, 1)...)
}

// widerProbeTargets returns the upstreams to probe in the second step. They are drawn from
// the own zone again and from the other zones of the region.
func (r *Round) widerProbeTargets() []Upstream {
	list := r.Sample(r.Eligible(OwnZone), widerProbes)
	list = append(list, r.Sample(r.Eligible(OwnRegion), widerProbes)...)
	if len(list) == 0 {
		return r.lastResortTargets()
	}
	return list
}

// lastResortTargets returns the upstreams to probe in the last step, or earlier if the nearer
// zones have none. They are drawn from other regions and, if there are too few, from all
// upstreams of the service, whether or not the placement assigns the model to them. If there
// are none either and no usable upstream was found so far, they are drawn from those that
// are avoided.
func (r *Round) lastResortTargets() []Upstream {
	all := r.Picker.serviceGroup(r.Query.Service)
	list := r.Sample(r.Eligible(OtherRegion), widerProbes)
	for tier := range tierCount {
		if len(list) < widerProbes {
			unassigned := r.without(r.eligible(all, tier), list)
			list = append(list, r.Sample(unassigned, widerProbes-len(list))...)
		}
	}
	if len(list) == 0 && !r.anyUsable() {
		list = r.Sample(r.avoided(all), lastResortProbes)
	}
	return list
}

// anyUsable reports whether an upstream probed so far can take the work, whatever its load.
func (r *Round) anyUsable() bool {
	for _, result := range r.Results {
		if r.Query.Obstacle(result) == "" {
			return true
		}
	}
	return false
}

// shouldWiden reports whether probing more upstreams may improve the decision.
func (r *Round) shouldWiden(d Decision) bool {
	if !d.OK {
		return true
	}
	chosen := d.Chosen
	usual := r.Usual.ServiceP50
	slow := usual > 0 && chosen.Expected > slowServiceFactor*usual+spillMargin
	backlogged := chosen.Backlog > r.regionLatency()+spillMargin
	return slow || backlogged
}

// regionLatency returns the extra latency of the nearest other zone of the region.
func (r *Round) regionLatency() time.Duration {
	least := time.Duration(-1)
	for _, u := range r.Picker.queryGroup(r.Query).tiers[OwnRegion] {
		extra := r.Table.extraLatency(r.Picker.zone, u)
		if least < 0 || extra < least {
			least = extra
		}
	}
	return max(0, least)
}

// without returns the members of list that are not in excluded.
func (r *Round) without(list, excluded []Upstream) []Upstream {
	var remaining []Upstream
	for _, u := range list {
		if !contains(excluded, u) {
			remaining = append(remaining, u)
		}
	}
	return remaining
}

// contains reports whether list has an upstream with the ID of u.
func contains(list []Upstream, u Upstream) bool {
	for _, member := range list {
		if member.ID == u.ID {
			return true
		}
	}
	return false
}
