// Package account computes what a trial cost per service: it compares the passes
// that the stand-in upstreams recorded in their ledgers with the results of the
// callers. It never reads the system's own logs. A call is one stage of one request,
// and a pass is one attempt at a call by an upstream.
package account

import (
	"cmp"
	"slices"
	"strings"

	"acaciawinch/standin/ledger"
)

// CallerOutcome is the result of one request as its caller saw it.
type CallerOutcome int

// The outcomes.
const (
	// Lost is a request that is in the ledgers but that no caller recorded, as
	// after its entry was killed.
	Lost CallerOutcome = iota
	// Attained is a complete response within the deadline.
	Attained
	// Late is a complete response after the deadline.
	Late
	// Unanswered is a refusal, a failure or no response.
	Unanswered
)

// Stage is the cost of one service over all pipelines that use it.
type Stage struct {
	Service string `json:"service"`
	// Passes counts the attempts that started at an upstream.
	Passes int `json:"passes"`
	// Calls counts the distinct stages of requests among the passes.
	Calls int `json:"calls"`
	// PerAnswered is the mean number of passes for each call of a request that was
	// answered in time.
	PerAnswered float64 `json:"passes_per_answered"`
	// Extra is the share of passes beyond the first of each call.
	Extra float64 `json:"extra"`
	// Cost is the work done: tokens for engines, calls for other services.
	// WastedCost is the part of Cost that went into wasted passes.
	Cost       uint64 `json:"cost"`
	WastedCost uint64 `json:"wasted_cost"`
	Wasted     Wasted `json:"wasted"`
}

// Wasted counts the passes that did not lead to a response in time, by cause.
type Wasted struct {
	// Hedge passes ran concurrently with the pass whose result was used.
	Hedge int `json:"hedge"`
	// Replaced passes failed, stalled or were killed, and a later one took over.
	Replaced int `json:"replaced"`
	// Late passes served a response that came after its deadline.
	Late int `json:"late"`
	// Unwanted passes served a request that was refused or failed in the end.
	Unwanted int `json:"unwanted"`
	// Orphan passes served a request that no caller recorded.
	Orphan int `json:"orphan"`
}

// Total returns the number of wasted passes over all causes.
func (w Wasted) Total() int { return w.Hedge + w.Replaced + w.Late + w.Unwanted + w.Orphan }

// callKey identifies a call: one stage of one request at a service.
type callKey struct {
	service string
	request string
	stage   string
}

// pass is one attempt at an upstream.
type pass struct {
	started, ended int64
	// completed is set if the upstream recorded the normal end of the pass.
	completed bool
	cost      uint64
}

// ByStage computes the cost of each service, sorted by service name. The outcomes
// are keyed by request id.
func ByStage(records []ledger.Record, outcomes map[string]CallerOutcome) []Stage {
	stages := map[string]*stageCounter{}
	for c, passes := range groupPasses(records) {
		count := stages[c.service]
		if count == nil {
			count = &stageCounter{}
			count.Service = c.service
			stages[c.service] = count
		}
		count.add(passes, outcomes[c.request])
	}
	var all []Stage
	for _, count := range stages {
		all = append(all, count.summarize())
	}
	slices.SortFunc(all, func(a, b Stage) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// groupPasses merges the records of each attempt into a pass and groups the passes
// by call.
func groupPasses(records []ledger.Record) map[callKey]map[string]*pass {
	calls := map[callKey]map[string]*pass{}
	for _, r := range records {
		c, ok := parseCall(r)
		if !ok {
			continue
		}
		if calls[c] == nil {
			calls[c] = map[string]*pass{}
		}
		// An attempt should run at one upstream only; the upstream in the key keeps
		// the passes apart if it ran at two.
		name := r.ID + "@" + r.Upstream
		if calls[c][name] == nil {
			calls[c][name] = &pass{}
		}
		calls[c][name].addRecord(r)
	}
	return calls
}

// parseCall returns the call of a record, whose id has the form
// request/stage/attempt, and false for records of other kinds.
func parseCall(r ledger.Record) (callKey, bool) {
	parts := strings.Split(r.ID, "/")
	if len(parts) != 3 || r.Event == ledger.Order {
		return callKey{}, false
	}
	return callKey{service: r.Service, request: parts[0], stage: parts[1]}, true
}

// addRecord adds one ledger record to the pass.
func (p *pass) addRecord(r ledger.Record) {
	if r.Event == ledger.Start {
		p.started = r.TimeUS
		return
	}
	p.ended = r.TimeUS
	p.cost = r.Cost
	p.completed = r.Event == ledger.End
}

// stageCounter accumulates a Stage.
type stageCounter struct {
	Stage
	answeredCalls  int
	answeredPasses int
}

// add counts the passes of one call.
func (s *stageCounter) add(passes map[string]*pass, outcome CallerOutcome) {
	s.Calls++
	s.Passes += len(passes)
	if outcome == Attained {
		s.answeredCalls++
		s.answeredPasses += len(passes)
	}
	used := usedPass(passes)
	for _, p := range passes {
		s.Cost += p.cost
		if p == used && outcome == Attained {
			continue
		}
		s.WastedCost += p.cost
		*s.wasteCounter(p, used, outcome)++
	}
}

// usedPass returns the pass that served the call: the first to complete, or the
// last to start if none completed.
func usedPass(passes map[string]*pass) *pass {
	var used *pass
	for _, p := range passes {
		if used == nil || preferred(p, used) {
			used = p
		}
	}
	return used
}

// preferred reports whether a, rather than b, is the pass that served the call.
func preferred(a, b *pass) bool {
	if a.completed != b.completed {
		return a.completed
	}
	if a.completed {
		return a.ended < b.ended
	}
	return a.started > b.started
}

// wasteCounter returns the counter of the cause for which p was wasted.
func (s *stageCounter) wasteCounter(p, used *pass, outcome CallerOutcome) *int {
	switch {
	case p != used && p.ranAlongside(used):
		return &s.Wasted.Hedge
	case p != used:
		return &s.Wasted.Replaced
	case outcome == Late:
		return &s.Wasted.Late
	case outcome == Lost:
		return &s.Wasted.Orphan
	default:
		return &s.Wasted.Unwanted
	}
}

// ranAlongside reports whether p ended, complete or cancelled, no earlier than the
// used pass: both ran for the same result. A pass that ended before the used one,
// or that never ended, was replaced.
func (p *pass) ranAlongside(used *pass) bool {
	if p.ended == 0 {
		return false
	}
	return p.ended >= used.ended && used.ended != 0
}

// summarize computes the ratios and returns the stage.
func (s *stageCounter) summarize() Stage {
	if s.answeredCalls > 0 {
		s.PerAnswered = float64(s.answeredPasses) / float64(s.answeredCalls)
	}
	if s.Calls > 0 {
		s.Extra = float64(s.Passes-s.Calls) / float64(s.Calls)
	}
	return s.Stage
}
