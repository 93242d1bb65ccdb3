package routing

import "time"

// Numbers of upstreams asked.
const (
	// choices is how many are asked at first. Two give most of what asking
	// everybody would give, and cost bytes for two.
	choices = 2
	// warmChoices is how many of a prefix's ranking are asked; one more is drawn
	// at random as a yardstick.
	warmChoices = 2
	// wideChoices is how many are asked in each later step, per tier.
	wideChoices = 2
	// lastChoices is how many avoided upstreams are tried as a last resort.
	lastChoices = 3
	// steps bounds how often one decision asks.
	steps = 3
)

// probe2 asks two upstreams at the moment of the decision and takes the one
// that is expected to finish first. Own zone first; other zones are asked when
// its wait is longer than the way there, when its answers are unusually slow, or
// when nobody in it can take the work.
type probe2 struct{}

// Name implements Policy.
func (probe2) Name() string { return Probe2 }

// Ask implements Policy.
func (probe2) Ask(r *Round) Ask {
	var list []Upstream
	switch r.Number {
	case 0:
		list = r.firstChoices()
	case 1:
		list = r.widerChoices()
	case 2:
		list = r.lastResort()
	}
	return Ask{Upstreams: list}
}

// Decide implements Policy.
func (probe2) Decide(r *Round) Decision {
	d := r.DecideByScore()
	d.Widen = r.Number+1 < steps && r.unsatisfied(d)
	return d
}

// firstChoices draws from the own zone and fills up from farther tiers.
func (r *Round) firstChoices() []Upstream {
	own := r.Eligible(OwnZone)
	var list []Upstream
	if r.hasAffinity() {
		list = r.warmFirst(own)
	} else {
		list = r.Sample(own, choices)
	}
	for tier := OwnRegion; tier < tierCount && len(list) < choices; tier++ {
		list = append(list, r.Sample(r.Eligible(tier), choices-len(list))...)
	}
	if len(list) == 0 {
		return r.lastResort()
	}
	return list
}

// warmFirst returns the first of the prefix's ranking and one other at random.
func (r *Round) warmFirst(own []Upstream) []Upstream {
	list := r.withinBound(rank(prefixKey(r.Query), own), warmChoices)
	var rest []Upstream
	for _, u := range own {
		if !contains(list, u) {
			rest = append(rest, u)
		}
	}
	return append(list, r.Sample(rest, 1)...)
}

// widerChoices draws again from the own zone and from the own region.
func (r *Round) widerChoices() []Upstream {
	list := r.Sample(r.Eligible(OwnZone), wideChoices)
	list = append(list, r.Sample(r.Eligible(OwnRegion), wideChoices)...)
	if len(list) == 0 {
		return r.lastResort()
	}
	return list
}

// lastResort draws from other regions, from the service's upstreams that the
// placement does not name, and, if nobody was found so far, from those that are
// avoided.
func (r *Round) lastResort() []Upstream {
	all := r.Picker.serviceGroup(r.Query.Service)
	list := r.Sample(r.Eligible(OtherRegion), wideChoices)
	for tier := range tierCount {
		if len(list) < wideChoices {
			unnamed := r.without(r.eligible(all, tier), list)
			list = append(list, r.Sample(unnamed, wideChoices-len(list))...)
		}
	}
	if len(list) == 0 && !r.found() {
		list = r.Sample(r.avoided(all), lastChoices)
	}
	return list
}

// found tells whether somebody asked so far can take work at all.
func (r *Round) found() bool {
	for _, answer := range r.Answers {
		if r.Query.Obstacle(answer) == "" {
			return true
		}
	}
	return false
}

// unsatisfied tells whether asking more upstreams may pay.
func (r *Round) unsatisfied(d Decision) bool {
	if !d.OK {
		return true
	}
	chosen := d.Chosen
	usual := r.Usual.ServiceP50
	slow := usual > 0 && chosen.Expected > slowFactor*usual+spillMargin
	wait := chosen.Backlog > r.awayLatency()+spillMargin
	return slow || wait
}

// awayLatency returns the extra latency of the nearest other zone of the region.
func (r *Round) awayLatency() time.Duration {
	least := time.Duration(-1)
	for _, u := range r.Picker.queryGroup(r.Query).tiers[OwnRegion] {
		away := r.Table.distance(r.Picker.zone, u)
		if least < 0 || away < least {
			least = away
		}
	}
	return max(0, least)
}

// without returns list less the members of taken.
func (r *Round) without(list, taken []Upstream) []Upstream {
	var rest []Upstream
	for _, u := range list {
		if !contains(taken, u) {
			rest = append(rest, u)
		}
	}
	return rest
}

// contains tells whether list has u.
func contains(list []Upstream, u Upstream) bool {
	for _, member := range list {
		if member.ID == u.ID {
			return true
		}
	}
	return false
}
