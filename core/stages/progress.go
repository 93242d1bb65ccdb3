// Package stages tracks one request through the graph of its stages: which stage can
// start, with which inputs, and which results may be freed. It does no I/O and is not
// safe for concurrent use.
package stages

import (
	"time"

	"acaciawinch/core/routes"
)

// Progress is the state of one request's stages. All slices are indexed by stage.
type Progress struct {
	graph   []routes.Stage
	items   []int
	started []bool
	results [][]string
	done    []bool
	// inputsRead is set for stages that no longer need their inputs.
	inputsRead []bool
	freed      []bool
}

// New returns the progress of a request that has the given number of items in each stage; a
// stage without items is skipped.
func New(graph []routes.Stage, items []int) *Progress {
	p := &Progress{
		graph:      graph,
		items:      items,
		started:    make([]bool, len(graph)),
		results:    make([][]string, len(graph)),
		done:       make([]bool, len(graph)),
		inputsRead: make([]bool, len(graph)),
		freed:      make([]bool, len(graph)),
	}
	for stage := range graph {
		p.done[stage] = items[stage] == 0
		p.started[stage] = p.done[stage]
		p.inputsRead[stage] = p.done[stage]
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

// inputsDone reports whether all stages that a stage depends on are done.
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

// MarkInputsRead records that a stage has read its inputs.
func (p *Progress) MarkInputsRead(stage int) { p.inputsRead[stage] = true }

// Finish records the results of a stage.
func (p *Progress) Finish(stage int, results []string) {
	p.results[stage] = results
	p.done[stage] = true
	p.inputsRead[stage] = true
}

// Done reports whether all stages are done.
func (p *Progress) Done() bool {
	for _, done := range p.done {
		if !done {
			return false
		}
	}
	return true
}

// Final returns the results that the request itself uses: those of the stages on which no
// other stage depends.
func (p *Progress) Final() []string {
	var final []string
	for stage := range p.graph {
		if len(p.dependents(stage)) == 0 {
			final = append(final, p.results[stage]...)
		}
	}
	return final
}

// dependents returns the stages that work on the results of a stage.
func (p *Progress) dependents(stage int) []int {
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

// TakeUnneeded returns the stages whose results are no longer needed, and returns each stage only
// once. The results of a stage are needed until all its dependents have read them, or until
// the caller sets last because the request itself no longer needs any results.
func (p *Progress) TakeUnneeded(last bool) []int {
	var unneeded []int
	for stage := range p.graph {
		if p.freed[stage] || len(p.results[stage]) == 0 || !p.consumed(stage, last) {
			continue
		}
		p.freed[stage] = true
		unneeded = append(unneeded, stage)
	}
	return unneeded
}

// consumed reports whether a stage's results have been read by all that need them.
func (p *Progress) consumed(stage int, last bool) bool {
	if last {
		return true
	}
	dependents := p.dependents(stage)
	for _, later := range dependents {
		if !p.inputsRead[later] {
			return false
		}
	}
	return len(dependents) > 0
}

// Results returns the results of a stage.
func (p *Progress) Results(stage int) []string { return p.results[stage] }

// CriticalPath returns the duration of the longest path from the start of a stage to the end of
// the request's stages, given the estimated duration of each stage.
func (p *Progress) CriticalPath(stage int, estimate func(stage int) time.Duration) time.Duration {
	if p.items[stage] == 0 {
		return 0
	}
	return estimate(stage) + p.CriticalPathAfter(stage, estimate)
}

// CriticalPathAfter returns the same as CriticalPath without the duration of the stage itself.
func (p *Progress) CriticalPathAfter(stage int, estimate func(stage int) time.Duration) time.Duration {
	var longest time.Duration
	for _, later := range p.dependents(stage) {
		longest = max(longest, p.CriticalPath(later, estimate))
	}
	return longest
}

// Remaining returns the longest remaining time until all stages are done. A running stage counts
// with its whole estimated duration.
func (p *Progress) Remaining(estimate func(stage int) time.Duration) time.Duration {
	var longest time.Duration
	for stage := range p.graph {
		if !p.done[stage] {
			longest = max(longest, p.CriticalPath(stage, estimate))
		}
	}
	return longest
}

// IsLast reports whether no other stage depends on a stage, so that the request itself uses its
// results.
func (p *Progress) IsLast(stage int) bool { return len(p.dependents(stage)) == 0 }

// Following returns the stages with items that depend on a stage, directly or through others, in
// the order of their numbers.
func (p *Progress) Following(stage int) []int {
	follows := make([]bool, len(p.graph))
	p.markFollowing(stage, follows)
	var found []int
	for later, marked := range follows {
		if marked && p.items[later] > 0 {
			found = append(found, later)
		}
	}
	return found
}

// markFollowing marks the stages that depend on a stage, directly or through others.
func (p *Progress) markFollowing(stage int, follows []bool) {
	for _, later := range p.dependents(stage) {
		if !follows[later] {
			follows[later] = true
			p.markFollowing(later, follows)
		}
	}
}
