package routing

import (
	"cmp"
	"slices"
	"time"
)

// baselineReplyAge is the maximum age of a remembered reply that a baseline policy reuses.
// The policy needs the incarnation and clock of the sidecar from the reply, not its load.
const baselineReplyAge = 20 * time.Second

// pickFunc moves the upstream that it picks to the front of candidates, which is not empty.
type pickFunc func(r *Round, candidates []Upstream)

// baseline chooses without regard to the load that upstreams report. The baseline policies
// exist for comparison with the load-aware ones. They share suspicion, drains and placement
// with those, so that a comparison shows the effect of the choice alone.
type baseline struct {
	name string
	pick pickFunc
}

// Name implements Policy.
func (b baseline) Name() string { return b.name }

// Plan implements Policy.
func (b baseline) Plan(r *Round) ProbePlan {
	var candidates []Upstream
	for tier := range tierCount {
		candidates = append(candidates, r.Eligible(tier)...)
	}
	if len(candidates) == 0 {
		candidates = r.Sample(r.avoided(r.Picker.serviceGroup(r.Query.Service)), 1)
	}
	if len(candidates) == 0 {
		return ProbePlan{}
	}
	b.pick(r, candidates)
	return ProbePlan{Upstreams: candidates[:1], Age: baselineReplyAge, Uses: baselineReplyUses}
}

// baselineReplyUses lets any number of choices rely on one reply.
const baselineReplyUses = 1 << 30

// Decide implements Policy. It accepts the upstream of the last reply unless that upstream
// cannot take the work at all.
func (b baseline) Decide(r *Round) Decision {
	candidates := r.evaluateAll()
	last := len(candidates) - 1
	if last >= 0 && r.Query.Obstacle(candidates[last].Result) == "" {
		return accept(candidates, last, b.name)
	}
	d := refusal(candidates)
	d.Widen = r.Step+1 < maxSteps
	return d
}

// pickRandom moves a random candidate to the front.
func pickRandom(r *Round, candidates []Upstream) { r.Sample(candidates, 1) }

// newRoundRobin returns a pickFunc that cycles through the candidates of each service. It
// starts at a random position, so that entries do not cycle in step.
func newRoundRobin() pickFunc {
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

// pickLeastLocal prefers the candidate with the fewest attempts in flight from this entry.
// Ties are broken at random.
func pickLeastLocal(r *Round, candidates []Upstream) {
	r.Sample(candidates, len(candidates))
	slices.SortStableFunc(candidates, func(a, b Upstream) int {
		return cmp.Compare(r.Table.InFlight(a.ID), r.Table.InFlight(b.ID))
	})
}
