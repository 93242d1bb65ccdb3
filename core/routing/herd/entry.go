package herd

import (
	"math/rand/v2"
	"time"

	"acaciawinch/core/latency"
	"acaciawinch/core/routing"
)

// entry is one entry process. It shares nothing with the others but the host list.
type entry struct {
	policy routing.Policy
	picker *routing.Picker
	table  *routing.Table
	random *rand.Rand
	// load returns what an upstream reports now.
	load   func(routing.Upstream) routing.Load
	probes int
}

// choose decides which upstream carries out query and records the choice.
func (e *entry) choose(now time.Time, query routing.Query) routing.Upstream {
	round := &routing.Round{
		Query:  query,
		Picker: e.picker,
		Table:  e.table,
		Random: e.random,
		Now:    now,
		Usual:  latency.Estimate{ServiceP50: serviceTime},
	}
	var decision routing.Decision
	for {
		plan := e.policy.Plan(round)
		if round.Step > 0 && len(plan.Upstreams) == 0 {
			break
		}
		for _, upstream := range plan.Background {
			e.probe(now, upstream)
		}
		for _, upstream := range plan.Upstreams {
			round.Results = append(round.Results, e.rememberedOrProbe(now, upstream, plan))
		}
		decision = e.policy.Decide(round)
		if !decision.Widen {
			break
		}
		round.Step++
	}
	chosen := decision.Chosen.Result.Upstream
	e.table.RecordChoice(chosen.ID, now)
	return chosen
}

// rememberedOrProbe returns the remembered reply of an upstream if plan allows it, else
// probes the upstream.
func (e *entry) rememberedOrProbe(now time.Time, upstream routing.Upstream, plan routing.ProbePlan) routing.ProbeResult {
	if known, ok := e.table.Remembered(upstream.ID, now, plan.Age, plan.Uses); ok {
		return known
	}
	return e.probe(now, upstream)
}

// probe probes an upstream.
func (e *entry) probe(now time.Time, upstream routing.Upstream) routing.ProbeResult {
	e.probes++
	return e.update(now, upstream)
}

// update records the present load of an upstream in the entry's table.
func (e *entry) update(now time.Time, upstream routing.Upstream) routing.ProbeResult {
	result := routing.ProbeResult{Upstream: upstream, Replied: true, Load: e.load(upstream), SentAt: now}
	e.table.RecordReply(result, now)
	return result
}
