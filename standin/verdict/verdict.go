// Package verdict judges a trial by what the callers and the stand-in upstreams
// recorded themselves. It never looks at the system's own logs.
package verdict

import (
	"fmt"

	"acaciawinch/core"
	"acaciawinch/standin/answer"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/ledger"
)

// Exchange is one request with its result.
type Exchange struct {
	Request caller.Request
	Result  caller.Result
	// Bad marks a request that must be refused before any upstream sees it.
	Bad bool
}

// Summary counts a trial's outcomes.
type Summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without a final answer, and answers without the
	// execution of their non-idempotent stage.
	Lost int `json:"lost"`
	// Doubled counts non-idempotent stages that were started more than once.
	Doubled int `json:"doubled"`
	// Crossed counts answers that are not their request's own.
	Crossed int `json:"crossed"`
	// Stray counts executions whose input belongs to no good request: a bad
	// request reached an upstream, or a stage got what was not its own.
	Stray int `json:"stray"`
	// FalseNotRun counts requests that were told "not run" or "failed", and
	// nothing else on any attempt, although their non-idempotent stage was started.
	FalseNotRun int `json:"false_not_run"`
	// Findings describes each violation.
	Findings []string `json:"findings,omitempty"`
}

// Clean tells whether nothing that must never happen did happen.
func (s Summary) Clean() bool {
	return s.Lost+s.Doubled+s.Crossed+s.Stray+s.FalseNotRun == 0
}

// Expecter works out the steps that a request must take.
type Expecter interface {
	Expected(caller.Request) ([]answer.Step, bool)
}

// execution names one stage's execution by who must have run it on what.
type execution struct {
	service string
	digest  string
}

// judge holds what is worked out on the way to a summary.
type judge struct {
	summary  Summary
	expecter Expecter
	// starts counts the executions that began.
	starts map[execution]int
	// known holds the executions that belong to good requests.
	known map[execution]bool
	// settled holds the non-idempotent executions whose request was answered, is
	// unknown or got no answer on some attempt: they may have run.
	settled map[execution]bool
}

// Judge sums up a trial. Requests with equal bodies count as one request that
// was asked again, so bodies must be unique otherwise.
func Judge(expecter Expecter, exchanges []Exchange, records []ledger.Record) Summary {
	j := &judge{
		expecter: expecter,
		starts:   map[execution]int{},
		known:    map[execution]bool{},
		settled:  map[execution]bool{},
	}
	j.countStarts(records)
	for _, e := range exchanges {
		j.note(e)
	}
	for _, e := range exchanges {
		j.checkExecution(e)
	}
	j.checkDoubled(exchanges)
	j.checkStray()
	return j.summary
}

// find records a violation.
func (j *judge) find(count *int, format string, args ...any) {
	*count++
	j.summary.Findings = append(j.summary.Findings, fmt.Sprintf(format, args...))
}

// countStarts counts the executions that began.
func (j *judge) countStarts(records []ledger.Record) {
	for _, r := range records {
		if r.Event == ledger.Start {
			j.starts[execution{r.Service, r.InputDigest}]++
		}
	}
}

// note counts one exchange and records the executions that it accounts for.
func (j *judge) note(e Exchange) {
	j.summary.Sent++
	j.countOutcome(e)
	if e.Bad {
		return
	}
	steps, _ := j.expecter.Expected(e.Request)
	for _, step := range steps {
		x := executionOf(step)
		j.known[x] = true
		if step.Stage.NonIdempotent && mayHaveRun(e.Result.Outcome) {
			j.settled[x] = true
		}
	}
}

// mayHaveRun tells whether an outcome leaves room for a non-idempotent execution.
func mayHaveRun(outcome core.Outcome) bool {
	return outcome != core.OutcomeNotRun && outcome != core.OutcomeFailed
}

// executionOf returns the execution that a step must be.
func executionOf(step answer.Step) execution {
	return execution{step.Stage.Service, answer.Digest(step.Input)}
}

// countOutcome counts what the caller got.
func (j *judge) countOutcome(e Exchange) {
	s := &j.summary
	name := e.Request.Workspace + "/" + e.Request.Pipeline + " " + e.Result.RequestID
	switch e.Result.Verdict {
	case caller.Whole:
		s.Answered++
	case caller.Mismatch:
		j.find(&s.Crossed, "crossed: %s: %s", name, e.Result.Detail)
	case caller.Cut, caller.Broken:
		j.find(&s.Lost, "lost: %s: %s", name, e.Result.Detail)
	case caller.Problem:
		j.countProblem(e, name)
	}
}

// countProblem counts a problem document by its outcome.
func (j *judge) countProblem(e Exchange, name string) {
	s := &j.summary
	switch e.Result.Outcome {
	case core.OutcomeNotRun:
		s.NotRun++
	case core.OutcomeFailed:
		s.Failed++
	case core.OutcomeUnknown, core.OutcomeRunning:
		s.Unknown++
	default:
		j.find(&s.Lost, "lost: %s: a problem with outcome %q", name, e.Result.Outcome)
	}
}

// checkExecution checks what the caller was told against the executions of its
// non-idempotent stages.
func (j *judge) checkExecution(e Exchange) {
	if e.Bad {
		return
	}
	steps, _ := j.expecter.Expected(e.Request)
	for _, step := range steps {
		if !step.Stage.NonIdempotent {
			continue
		}
		x := executionOf(step)
		ran := j.starts[x] > 0
		if e.Result.Verdict == caller.Whole && !ran {
			j.find(&j.summary.Lost, "lost: %s was answered but %s never ran", e.Result.RequestID, x.service)
		}
		if !mayHaveRun(e.Result.Outcome) && ran && !j.settled[x] {
			j.find(&j.summary.FalseNotRun, "false %s: %s: %s ran", e.Result.Outcome, e.Result.RequestID, x.service)
		}
	}
}

// checkDoubled counts the non-idempotent executions that began more than once.
func (j *judge) checkDoubled(exchanges []Exchange) {
	seen := map[execution]bool{}
	for _, e := range exchanges {
		steps, _ := j.expecter.Expected(e.Request)
		for _, step := range steps {
			x := executionOf(step)
			if !step.Stage.NonIdempotent || seen[x] {
				continue
			}
			seen[x] = true
			if j.starts[x] > 1 {
				j.find(&j.summary.Doubled, "doubled: %s ran %d times on %s", x.service, j.starts[x], x.digest)
			}
		}
	}
}

// checkStray counts the executions that belong to no good request.
func (j *judge) checkStray() {
	for x, count := range j.starts {
		if !j.known[x] {
			j.find(&j.summary.Stray, "stray: %s ran %d times on %s", x.service, count, x.digest)
		}
	}
}
