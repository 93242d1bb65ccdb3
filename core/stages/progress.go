// Package stages follows one request through the graph of its stages: which
// stage can start, with which inputs, and which results may be freed. It does no
// I/O and is not safe for concurrent use.
package stages

import (
	"time"

	"acaciawinch/core/routes"
)

// Progress is where one request stands in its stages.
type Progress struct {
	graph   []routes.Stage
	pieces  []int
	started []bool
	results [][]string
	done    []bool
	// taken is set for stages that have read their inputs.
	taken []bool
	freed []bool
}

// New returns the progress of a request that asks for a number of pieces of each
// stage; a stage without pieces is left out.
func New(graph []routes.Stage, pieces []int) *Progress {
	p := &Progress{
		graph:   graph,
		pieces:  pieces,
		started: make([]bool, len(graph)),
		results: make([][]string, len(graph)),
		done:    make([]bool, len(graph)),
		taken:   make([]bool, len(graph)),
		freed:   make([]bool, len(graph)),
	}
	for stage := range graph {
		p.done[stage] = pieces[stage] == 0
		p.started[stage] = p.done[stage]
		p.taken[stage] = p.done[stage]
	}
	return p
}

// Start returns the stages that can start now and marks them as started.
func (p *Progress) Start() []int {
	var ready []int
	for stage := range p.graph {
		if p.started[stage] || !p.inputsDone(stage) {
			continue
		}
		p.started[stage] = true
		ready = append(ready, stage)
	}
	return ready
}

// inputsDone tells whether all stages that a stage needs are done.
func (p *Progress) inputsDone(stage int) bool {
	for _, before := range p.graph[stage].After {
		if !p.done[before] {
			return false
		}
	}
	return true
}

// Inputs returns the results that a stage works on.
func (p *Progress) Inputs(stage int) []string {
	var inputs []string
	for _, before := range p.graph[stage].After {
		inputs = append(inputs, p.results[before]...)
	}
	return inputs
}

// Take records that a stage has read its inputs.
func (p *Progress) Take(stage int) { p.taken[stage] = true }

// Finish records the results of a stage.
func (p *Progress) Finish(stage int, results []string) {
	p.results[stage] = results
	p.done[stage] = true
	p.taken[stage] = true
}

// Done tells whether all stages are done.
func (p *Progress) Done() bool {
	for _, done := range p.done {
		if !done {
			return false
		}
	}
	return true
}

// Final returns the results that the request itself takes: those of the stages
// that no other stage follows.
func (p *Progress) Final() []string {
	var final []string
	for stage := range p.graph {
		if len(p.followers(stage)) == 0 {
			final = append(final, p.results[stage]...)
		}
	}
	return final
}

// followers returns the stages that work on the results of a stage.
func (p *Progress) followers(stage int) []int {
	var found []int
	for later, s := range p.graph {
		for _, before := range s.After {
			if before == stage {
				found = append(found, later)
			}
		}
	}
	return found
}

// Spent returns the stages whose results nobody needs any more, each once: all
// their followers have read them, or with last set the request itself has taken them.
func (p *Progress) Spent(last bool) []int {
	var spent []int
	for stage := range p.graph {
		if p.freed[stage] || len(p.results[stage]) == 0 || !p.consumed(stage, last) {
			continue
		}
		p.freed[stage] = true
		spent = append(spent, stage)
	}
	return spent
}

// consumed tells whether a stage's results were used by all that need them.
func (p *Progress) consumed(stage int, last bool) bool {
	if last {
		return true
	}
	followers := p.followers(stage)
	for _, later := range followers {
		if !p.taken[later] {
			return false
		}
	}
	return len(followers) > 0
}

// Results returns the results of a stage.
func (p *Progress) Results(stage int) []string { return p.results[stage] }

// Length returns the longest time from the start of a stage to the end of the last
// one that follows it, if a stage takes as long as estimate says.
func (p *Progress) Length(stage int, estimate func(stage int) time.Duration) time.Duration {
	if p.pieces[stage] == 0 {
		return 0
	}
	return estimate(stage) + p.Tail(stage, estimate)
}

// Tail is Length without the stage itself.
func (p *Progress) Tail(stage int, estimate func(stage int) time.Duration) time.Duration {
	var longest time.Duration
	for _, later := range p.followers(stage) {
		longest = max(longest, p.Length(later, estimate))
	}
	return longest
}

// Left returns the longest time until all stages are done, counted from now for those
// that have not started and as a whole for those that run.
func (p *Progress) Left(estimate func(stage int) time.Duration) time.Duration {
	var longest time.Duration
	for stage := range p.graph {
		if !p.done[stage] {
			longest = max(longest, p.Length(stage, estimate))
		}
	}
	return longest
}

// IsLast tells whether no other stage follows a stage.
func (p *Progress) IsLast(stage int) bool { return len(p.followers(stage)) == 0 }
