package routing

import "time"

// Constants of the choice among answers.
const (
	// spillMargin is how much longer than the way to another zone the own zone's
	// wait may be before other zones are asked.
	spillMargin = 5 * time.Millisecond
	// slowFactor times the usual service time makes an answer not good enough.
	slowFactor = 3
	// affinitySlack is how much more a warm upstream may be expected to take
	// than the best answer, as a share and at least as a time.
	affinitySlack      = 0.25
	affinitySlackFloor = 5 * time.Millisecond
	// idleShare of its capacity is what an upstream may always hold of a
	// prefix's work, however little the others hold.
	idleShare = 0.5
	// Bounds of the time after which a refused caller should come back.
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// DecideByScore takes the usable answer with the lowest score, or for a stage
// with a prefix the warm one if it is nearly as good.
func (r *Round) DecideByScore() Decision {
	weighed := r.judgeAll()
	best := bestOf(weighed)
	if best < 0 {
		return refusal(weighed)
	}
	reason := "lowest expected completion"
	if len(weighed) == 1 {
		reason = "only answer"
	}
	if warm := r.warm(weighed, weighed[best]); warm >= 0 && warm != best {
		best, reason = warm, "prefix affinity within bound"
	}
	return take(weighed, best, reason)
}

// judgeAll weighs all answers.
func (r *Round) judgeAll() []Weighed {
	weighed := make([]Weighed, len(r.Answers))
	for i, answer := range r.Answers {
		weighed[i] = r.judge(answer)
	}
	return weighed
}

// bestOf returns the index of the usable one with the lowest score, or -1.
func bestOf(weighed []Weighed) int {
	best := -1
	for i, w := range weighed {
		if w.Usable && (best < 0 || w.score < weighed[best].score) {
			best = i
		}
	}
	return best
}

// warm returns the index of the first upstream in the prefix's ranking that is
// within the bound on load and nearly as good as best, or -1. Only the tier of
// best counts: a ranking holds for one zone. A cached prefix saves no more than the
// time to the first chunk, so the work must not queue longer than that for it.
func (r *Round) warm(weighed []Weighed, best Weighed) int {
	if !r.hasAffinity() {
		return -1
	}
	limit := best.score + max(affinitySlackFloor, time.Duration(affinitySlack*float64(best.Expected)))
	queueing := best.queueing() + max(affinitySlackFloor, best.Answer.Load.FirstP50)
	byID := make(map[Upstream]int)
	var near []Upstream
	for i, w := range weighed {
		u := w.Answer.Upstream
		nearlyAsGood := w.score <= limit && w.queueing() <= queueing
		if w.Usable && nearlyAsGood && u.Tier == best.Answer.Upstream.Tier {
			byID[u] = i
			near = append(near, u)
		}
	}
	ranked := rank(prefixKey(r.Query), near)
	for _, u := range r.withinBound(ranked, 1) {
		return byID[u]
	}
	return -1
}

// hasAffinity tells whether the stage has a prefix that an engine may keep.
func (r *Round) hasAffinity() bool { return r.Query.Engine && r.Query.Prefix != 0 }

// withinBound returns at most n upstreams of a ranking whose work is within the
// bound on load. What is not known counts as within, and so does an upstream
// that is mostly idle: moving its prefixes would gain nothing.
func (r *Round) withinBound(ranked []Upstream, n int) []Upstream {
	total, known := 0.0, 0
	for _, u := range r.Picker.queryGroup(r.Query).tiers[OwnZone] {
		if held, _, ok := r.Table.work(u.ID, r.Now); ok {
			total += float64(held)
			known++
		}
	}
	bound := boundOf(total, known)
	return firstWithin(ranked, n, bound, func(u Upstream) float64 {
		held, capacity, ok := r.Table.work(u.ID, r.Now)
		if !ok || float64(held+1) <= idleShare*float64(capacity) {
			return 0
		}
		return float64(held)
	})
}

// take returns the decision for the upstream at index chosen.
func take(weighed []Weighed, chosen int, reason string) Decision {
	d := Decision{OK: true, Chosen: weighed[chosen], Reason: reason}
	d.Spilled = d.Chosen.Answer.Upstream.Tier != OwnZone
	for i, w := range weighed {
		if i == chosen {
			continue
		}
		if w.Usable {
			w.Reason = comparison(w, d.Chosen)
		}
		d.Others = append(d.Others, w)
	}
	return d
}

// comparison says why w was not taken and chosen was.
func comparison(w, chosen Weighed) string {
	if w.score < chosen.score {
		return "better by load, not warm"
	}
	return "expected later"
}

// refusal returns the decision that nobody can take the work.
func refusal(weighed []Weighed) Decision {
	d := Decision{Others: weighed, Reason: "no upstream answers", RetryAfter: defaultRetryAfter}
	shortest := time.Duration(-1)
	for _, w := range weighed {
		if w.Answer.Answered {
			d.Reason = "no upstream can take the work"
		}
		if w.Expected > 0 && (shortest < 0 || w.Wait < shortest) {
			shortest = w.Wait
		}
	}
	if shortest >= 0 {
		d.Reason = "no upstream can finish in time"
		d.RetryAfter = max(minRetryAfter, shortest)
	}
	return d
}
