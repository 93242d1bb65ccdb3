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

// choose takes one decision at now.
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
		ask := e.policy.Ask(round)
		if round.Number > 0 && len(ask.Upstreams) == 0 {
			break
		}
		for _, upstream := range ask.Background {
			e.probe(now, upstream)
		}
		for _, upstream := range ask.Upstreams {
			round.Answers = append(round.Answers, e.rememberedOrProbe(now, upstream, ask))
		}
		decision = e.policy.Decide(round)
		if !decision.Widen {
			break
		}
		round.Number++
	}
	chosen := decision.Chosen.Answer.Upstream
	e.table.Chosen(chosen.ID, now)
	return chosen
}

// rememberedOrProbe returns the remembered reply of an upstream if ask allows it, else
// probes the upstream.
func (e *entry) rememberedOrProbe(now time.Time, upstream routing.Upstream, ask routing.Ask) routing.Answer {
	if known, ok := e.table.Remembered(upstream.ID, now, ask.Age, ask.Uses); ok {
		return known
	}
	return e.probe(now, upstream)
}

// probe probes an upstream.
func (e *entry) probe(now time.Time, upstream routing.Upstream) routing.Answer {
	e.probes++
	return e.update(now, upstream)
}

// update records the present load of an upstream in the entry's table.
func (e *entry) update(now time.Time, upstream routing.Upstream) routing.Answer {
	answer := routing.Answer{Upstream: upstream, Answered: true, Load: e.load(upstream), SentAt: now}
	e.table.Answered(answer, now)
	return answer
}
