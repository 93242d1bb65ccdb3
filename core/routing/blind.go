package routing

import (
	"cmp"
	"slices"
	"time"
)

// ticketAge is how long a blind policy goes on with what an upstream last said
// of itself. It needs the side's incarnation and clock, not its load.
const ticketAge = 20 * time.Second

// pick orders candidates; the first is taken.
type pick func(r *Round, candidates []Upstream)

// blind chooses without looking at the upstreams' load. These policies are
// there to be measured against. They share suspicion, drains and placement with
// the others, so that a comparison shows the choice alone.
type blind struct {
	name string
	pick pick
}

// Name implements Policy.
func (b blind) Name() string { return b.name }

// Ask implements Policy.
func (b blind) Ask(r *Round) Ask {
	var candidates []Upstream
	for tier := range tierCount {
		candidates = append(candidates, r.Eligible(tier)...)
	}
	if len(candidates) == 0 {
		candidates = r.Sample(r.avoided(r.Picker.serviceGroup(r.Query.Service)), 1)
	}
	if len(candidates) == 0 {
		return Ask{}
	}
	b.pick(r, candidates)
	return Ask{Upstreams: candidates[:1], Age: ticketAge, Uses: maxTicketUses}
}

// maxTicketUses is no bound in practice.
const maxTicketUses = 1 << 30

// Decide implements Policy: it takes the one that was asked last unless it can't
// take the work at all.
func (b blind) Decide(r *Round) Decision {
	weighed := r.judgeAll()
	last := len(weighed) - 1
	if last >= 0 && r.Query.Obstacle(weighed[last].Answer) == "" {
		return take(weighed, last, b.name)
	}
	d := refusal(weighed)
	d.Widen = r.Number+1 < steps
	return d
}

// pickRandom draws one candidate.
func pickRandom(r *Round, candidates []Upstream) { r.Sample(candidates, 1) }

// newRoundRobin returns a pick that goes through each service's candidates in
// turn. It starts anywhere, or all entries would go round in step.
func newRoundRobin() pick {
	turns := make(map[string]int)
	return func(r *Round, candidates []Upstream) {
		slices.SortFunc(candidates, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
		turn, ok := turns[r.Query.Service]
		if !ok {
			turn = r.Random.IntN(len(candidates))
		}
		turns[r.Query.Service] = turn + 1
		turn %= len(candidates)
		candidates[0], candidates[turn] = candidates[turn], candidates[0]
	}
}

// pickLeastLocal takes the candidate with the fewest attempts of this entry,
// drawing between equals.
func pickLeastLocal(r *Round, candidates []Upstream) {
	r.Sample(candidates, len(candidates))
	slices.SortStableFunc(candidates, func(a, b Upstream) int {
		return cmp.Compare(r.Table.InFlight(a.ID), r.Table.InFlight(b.ID))
	})
}
