package routing

import "time"

// Thresholds of the choice among candidates.
const (
	// spillMargin is by how much the wait in the own zone may exceed the extra latency of
	// another zone before other zones are probed. It is also added to the expected time
	// above which a candidate counts as slow.
	spillMargin = 5 * time.Millisecond
	// slowServiceFactor is the multiple of the usual service time above which a candidate
	// counts as slow and more upstreams are probed.
	slowServiceFactor = 3
	// affinitySlack is how much longer than the best candidate a warm upstream may be
	// expected to take, as a share of the best candidate's time. The allowance is never
	// less than affinitySlackFloor.
	affinitySlack      = 0.25
	affinitySlackFloor = 5 * time.Millisecond
	// mostlyIdleShare is the share of its capacity up to which an upstream is always within
	// the load bound of prefix affinity, however little work the others have.
	mostlyIdleShare = 0.5
	// minRetryAfter and defaultRetryAfter are the least and the default delay after which a
	// refused caller should retry.
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// DecideByScore accepts the usable candidate with the lowest score. For a stage with a
// prompt prefix it prefers a warm upstream that is nearly as good.
func (r *Round) DecideByScore() Decision {
	candidates := r.evaluateAll()
	best := lowestScore(candidates)
	if best < 0 {
		return refusal(candidates)
	}
	reason := "lowest expected completion"
	if len(candidates) == 1 {
		reason = "only answer"
	}
	if warm := r.affinityChoice(candidates, candidates[best]); warm >= 0 && warm != best {
		best, reason = warm, "prefix affinity within bound"
	}
	return accept(candidates, best, reason)
}

// evaluateAll evaluates all replies.
func (r *Round) evaluateAll() []Candidate {
	candidates := make([]Candidate, len(r.Results))
	for i, result := range r.Results {
		candidates[i] = r.evaluate(result)
	}
	return candidates
}

// lowestScore returns the index of the usable candidate with the lowest score, or -1.
func lowestScore(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Usable && (best < 0 || c.score < candidates[best].score) {
			best = i
		}
	}
	return best
}

// affinityChoice returns the index of the first upstream in the prefix's ranking that is
// within the load bound and nearly as good as best, or -1. Only the tier of best counts,
// because a ranking holds for one zone. A cached prefix saves at most the time to the first
// chunk, so a wait longer than that would cost more than the prefix saves.
func (r *Round) affinityChoice(candidates []Candidate, best Candidate) int {
	if !r.hasAffinity() {
		return -1
	}
	maxScore := best.score + max(affinitySlackFloor, time.Duration(affinitySlack*float64(best.Expected)))
	maxQueueCost := best.queueCost() + max(affinitySlackFloor, best.Result.Load.FirstChunkP50)
	indexes := make(map[Upstream]int)
	var eligible []Upstream
	for i, c := range candidates {
		u := c.Result.Upstream
		nearlyAsGood := c.score <= maxScore && c.queueCost() <= maxQueueCost
		if c.Usable && nearlyAsGood && u.Tier == best.Result.Upstream.Tier {
			indexes[u] = i
			eligible = append(eligible, u)
		}
	}
	ranked := rank(prefixKey(r.Query), eligible)
	for _, u := range r.withinBound(ranked, 1) {
		return indexes[u]
	}
	return -1
}

// hasAffinity reports whether the stage has a prompt prefix that an engine may have cached.
func (r *Round) hasAffinity() bool { return r.Query.Engine && r.Query.Prefix != 0 }

// withinBound returns the first upstreams of a ranking, at most n, whose pending work is
// within the load bound. An upstream whose load is unknown counts as within the bound. So
// does one that is mostly idle, because moving its prefixes to another upstream would gain
// nothing.
func (r *Round) withinBound(ranked []Upstream, n int) []Upstream {
	total, known := 0.0, 0
	for _, u := range r.Picker.queryGroup(r.Query).tiers[OwnZone] {
		if pending, _, ok := r.Table.pendingWork(u.ID, r.Now); ok {
			total += float64(pending)
			known++
		}
	}
	bound := loadBound(total, known)
	return firstWithin(ranked, n, bound, func(u Upstream) float64 {
		pending, capacity, ok := r.Table.pendingWork(u.ID, r.Now)
		if !ok || float64(pending+1) <= mostlyIdleShare*float64(capacity) {
			return 0
		}
		return float64(pending)
	})
}

// accept returns the decision for the candidate at index chosen.
func accept(candidates []Candidate, chosen int, reason string) Decision {
	d := Decision{OK: true, Chosen: candidates[chosen], Reason: reason}
	d.Spilled = d.Chosen.Result.Upstream.Tier != OwnZone
	for i, c := range candidates {
		if i == chosen {
			continue
		}
		if c.Usable {
			c.Reason = lossReason(c, d.Chosen)
		}
		d.Others = append(d.Others, c)
	}
	return d
}

// lossReason returns why chosen was preferred to c.
func lossReason(c, chosen Candidate) string {
	if c.score < chosen.score {
		return "better by load, not warm"
	}
	return "expected later"
}

// refusal returns the decision when no candidate can take the work.
func refusal(candidates []Candidate) Decision {
	d := Decision{Others: candidates, Reason: "no upstream answers", RetryAfter: defaultRetryAfter}
	shortest := time.Duration(-1)
	for _, c := range candidates {
		if c.Result.Replied {
			d.Reason = "no upstream can take the work"
		}
		if c.Expected > 0 && (shortest < 0 || c.Wait < shortest) {
			shortest = c.Wait
		}
	}
	if shortest >= 0 {
		d.Reason = "no upstream can finish in time"
		d.RetryAfter = max(minRetryAfter, shortest)
	}
	return d
}
