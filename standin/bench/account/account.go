// Package account works out what a trial cost by stage: the passes that the
// stand-in upstreams recorded in their ledgers, set against what the callers got.
// It never looks at the system's own logs.
package account

import (
	"cmp"
	"slices"
	"strings"

	"acaciawinch/standin/ledger"
)

// Fate is what a caller got for one request.
type Fate int

// The fates.
const (
	// Lost means that the ledger's request has no caller: its entry was killed.
	Lost Fate = iota
	// Attained is a whole answer within the deadline.
	Attained
	// Late is a whole answer behind the deadline.
	Late
	// Unanswered is a refusal, a failure or no answer.
	Unanswered
)

// Stage is the cost of one service's part of all pipelines.
type Stage struct {
	Service string `json:"service"`
	// Passes counts the attempts that started at an upstream.
	Passes int `json:"passes"`
	// Calls counts the different stages of requests among them.
	Calls int `json:"calls"`
	// PerAnswered is the passes for each request that was answered in time and
	// used the service.
	PerAnswered float64 `json:"passes_per_answered"`
	// Extra is the share of passes beyond the first of each call.
	Extra float64 `json:"extra"`
	// Cost is the work spent: tokens of engines, calls of others. WastedCost is
	// the part of it that went into wasted passes.
	Cost       uint64 `json:"cost"`
	WastedCost uint64 `json:"wasted_cost"`
	Wasted     Wasted `json:"wasted"`
}

// Wasted counts passes that did not serve an answer in time, by cause.
type Wasted struct {
	// Hedge passes ran beside the one whose result was used.
	Hedge int `json:"hedge"`
	// Replaced passes failed, stalled or were killed, and a later one took over.
	Replaced int `json:"replaced"`
	// Late passes served an answer behind its deadline.
	Late int `json:"late"`
	// Unwanted passes served a request that was refused or failed in the end.
	Unwanted int `json:"unwanted"`
	// Orphan passes served a request that no caller knows.
	Orphan int `json:"orphan"`
}

// Total returns the wasted passes of all causes.
func (w Wasted) Total() int { return w.Hedge + w.Replaced + w.Late + w.Unwanted + w.Orphan }

// call names one stage of one request at a service.
type call struct {
	service string
	request string
	stage   string
}

// pass is one attempt at an upstream.
type pass struct {
	began, ended int64
	// whole is set if the pass came to its end.
	whole bool
	cost  uint64
}

// ByStage works out the cost by service, in the order of their names. The fates
// are keyed by request id.
func ByStage(records []ledger.Record, fates map[string]Fate) []Stage {
	stages := map[string]*stageCount{}
	for c, passes := range gather(records) {
		count := stages[c.service]
		if count == nil {
			count = &stageCount{}
			count.Service = c.service
			stages[c.service] = count
		}
		count.add(passes, fates[c.request])
	}
	var all []Stage
	for _, count := range stages {
		all = append(all, count.finish())
	}
	slices.SortFunc(all, func(a, b Stage) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// gather joins each attempt's records to a pass.
func gather(records []ledger.Record) map[call]map[string]*pass {
	calls := map[call]map[string]*pass{}
	for _, r := range records {
		c, ok := callOf(r)
		if !ok {
			continue
		}
		if calls[c] == nil {
			calls[c] = map[string]*pass{}
		}
		// An attempt runs at one upstream; the name keeps two apart if it did not.
		name := r.ID + "@" + r.Upstream
		if calls[c][name] == nil {
			calls[c][name] = &pass{}
		}
		calls[c][name].note(r)
	}
	return calls
}

// callOf returns the call of a record, whose id is request/stage/attempt.
func callOf(r ledger.Record) (call, bool) {
	parts := strings.Split(r.ID, "/")
	if len(parts) != 3 || r.Event == ledger.Order {
		return call{}, false
	}
	return call{service: r.Service, request: parts[0], stage: parts[1]}, true
}

// note takes one record into account.
func (p *pass) note(r ledger.Record) {
	if r.Event == ledger.Start {
		p.began = r.TimeUS
		return
	}
	p.ended = r.TimeUS
	p.cost = r.Cost
	p.whole = r.Event == ledger.End
}

// stageCount gathers a Stage.
type stageCount struct {
	Stage
	answeredCalls  int
	answeredPasses int
}

// add takes the passes of one call into account.
func (s *stageCount) add(passes map[string]*pass, fate Fate) {
	s.Calls++
	s.Passes += len(passes)
	if fate == Attained {
		s.answeredCalls++
		s.answeredPasses += len(passes)
	}
	used := usedOf(passes)
	for _, p := range passes {
		s.Cost += p.cost
		if p == used && fate == Attained {
			continue
		}
		s.WastedCost += p.cost
		*s.cause(p, used, fate)++
	}
}

// usedOf returns the pass that served the call: the first that came to its end,
// or the last to start if none did.
func usedOf(passes map[string]*pass) *pass {
	var used *pass
	for _, p := range passes {
		if used == nil || better(p, used) {
			used = p
		}
	}
	return used
}

// better tells whether a served the call rather than b.
func better(a, b *pass) bool {
	if a.whole != b.whole {
		return a.whole
	}
	if a.whole {
		return a.ended < b.ended
	}
	return a.began > b.began
}

// cause returns the counter that a wasted pass belongs to.
func (s *stageCount) cause(p, used *pass, fate Fate) *int {
	switch {
	case p != used && p.beside(used):
		return &s.Wasted.Hedge
	case p != used:
		return &s.Wasted.Replaced
	case fate == Late:
		return &s.Wasted.Late
	case fate == Lost:
		return &s.Wasted.Orphan
	default:
		return &s.Wasted.Unwanted
	}
}

// beside tells whether p was cancelled, or came to its end, only after the other
// pass had begun and ended: both ran for the same result. A pass that ended
// before, or that never ended, was replaced.
func (p *pass) beside(used *pass) bool {
	if p.ended == 0 {
		return false
	}
	return p.ended >= used.ended && used.ended != 0
}

// finish works out the ratios.
func (s *stageCount) finish() Stage {
	if s.answeredCalls > 0 {
		s.PerAnswered = float64(s.answeredPasses) / float64(s.answeredCalls)
	}
	if s.Calls > 0 {
		s.Extra = float64(s.Passes-s.Calls) / float64(s.Calls)
	}
	return s.Stage
}
