// Package verdict judges a test run by the records of the callers and the ledgers of
// the stand-in upstreams. It never reads the logs of the system under test.
package verdict

import (
	"fmt"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/output"
)

// Exchange is one request and its result.
type Exchange struct {
	Request caller.Request
	Result  caller.Result
	// Bad marks a request that must be refused before any upstream sees it.
	Bad bool
}

// Summary counts the outcomes and the violations of a test run.
type Summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without a final response, and responses without the
	// execution of their non-idempotent stage.
	Lost int `json:"lost"`
	// Doubled counts non-idempotent stages that were started more than once.
	Doubled int `json:"doubled"`
	// Crossed counts responses that do not belong to their request.
	Crossed int `json:"crossed"`
	// Stray counts executions whose input belongs to no valid request: a bad request
	// reached an upstream, or a stage got an input that was not its own.
	Stray int `json:"stray"`
	// FalseNotRun counts requests whose attempts all had the outcome "not run" or
	// "failed" although their non-idempotent stage was started.
	FalseNotRun int `json:"false_not_run"`
	// Findings describes each violation.
	Findings []string `json:"findings,omitempty"`
}

// Clean reports whether there was no violation.
func (s Summary) Clean() bool {
	return s.Lost+s.Doubled+s.Crossed+s.Stray+s.FalseNotRun == 0
}

// Expecter computes the steps that a request must take.
type Expecter interface {
	Expected(caller.Request) ([]output.Step, bool)
}

// executionKey identifies the execution of a stage by its service and the digest of its
// input.
type executionKey struct {
	service string
	digest  string
}

// judge holds the intermediate state of a verdict.
type judge struct {
	summary  Summary
	expecter Expecter
	// starts counts the starts of each execution.
	starts map[executionKey]int
	// expected holds the executions that belong to valid requests.
	expected map[executionKey]bool
	// possiblyRun holds the non-idempotent executions that may have run: some attempt
	// at their request succeeded, had an unknown outcome or got no response.
	possiblyRun map[executionKey]bool
}

// Judge returns the summary of a test run. Requests with equal bodies count as
// retries of one request, so distinct requests must have distinct bodies.
func Judge(expecter Expecter, exchanges []Exchange, records []ledger.Record) Summary {
	j := &judge{
		expecter:    expecter,
		starts:      map[executionKey]int{},
		expected:    map[executionKey]bool{},
		possiblyRun: map[executionKey]bool{},
	}
	j.countStarts(records)
	for _, e := range exchanges {
		j.countExchange(e)
	}
	for _, e := range exchanges {
		j.checkExecution(e)
	}
	j.checkDoubled(exchanges)
	j.checkStray()
	return j.summary
}

// addFinding records a violation.
func (j *judge) addFinding(count *int, format string, args ...any) {
	*count++
	j.summary.Findings = append(j.summary.Findings, fmt.Sprintf(format, args...))
}

// countStarts counts the starts of each execution.
func (j *judge) countStarts(records []ledger.Record) {
	for _, r := range records {
		if r.Event == ledger.Start {
			j.starts[executionKey{r.Service, r.InputDigest}]++
		}
	}
}

// countExchange counts one exchange and records the executions that belong to it.
func (j *judge) countExchange(e Exchange) {
	j.summary.Sent++
	j.countOutcome(e)
	if e.Bad {
		return
	}
	steps, _ := j.expecter.Expected(e.Request)
	for _, step := range steps {
		key := executionKeyOf(step)
		j.expected[key] = true
		if step.Stage.NonIdempotent && mayHaveRun(e.Result.Outcome) {
			j.possiblyRun[key] = true
		}
	}
}

// mayHaveRun reports whether a non-idempotent stage may have run in a request with
// this outcome.
func mayHaveRun(outcome core.Outcome) bool {
	return outcome != core.OutcomeNotRun && outcome != core.OutcomeFailed
}

// executionKeyOf returns the key of the execution that a step must have.
func executionKeyOf(step output.Step) executionKey {
	return executionKey{step.Stage.Service, output.Digest(step.Input)}
}

// countOutcome counts the result that the caller got.
func (j *judge) countOutcome(e Exchange) {
	s := &j.summary
	name := e.Request.Workspace + "/" + e.Request.Pipeline + " " + e.Result.RequestID
	switch e.Result.Verdict {
	case caller.Complete:
		s.Answered++
	case caller.Mismatch:
		j.addFinding(&s.Crossed, "crossed: %s: %s", name, e.Result.Detail)
	case caller.Truncated, caller.Unreadable:
		j.addFinding(&s.Lost, "lost: %s: %s", name, e.Result.Detail)
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
		j.addFinding(&s.Lost, "lost: %s: a problem with outcome %q", name, e.Result.Outcome)
	}
}

// checkExecution checks the outcome that the caller got against the executions of
// the request's non-idempotent stages.
func (j *judge) checkExecution(e Exchange) {
	if e.Bad {
		return
	}
	steps, _ := j.expecter.Expected(e.Request)
	for _, step := range steps {
		if !step.Stage.NonIdempotent {
			continue
		}
		key := executionKeyOf(step)
		ran := j.starts[key] > 0
		if e.Result.Verdict == caller.Complete && !ran {
			j.addFinding(&j.summary.Lost, "lost: %s was answered but %s never ran", e.Result.RequestID, key.service)
		}
		if !mayHaveRun(e.Result.Outcome) && ran && !j.possiblyRun[key] {
			j.addFinding(&j.summary.FalseNotRun, "false %s: %s: %s ran", e.Result.Outcome, e.Result.RequestID, key.service)
		}
	}
}

// checkDoubled counts the non-idempotent executions that were started more than once.
func (j *judge) checkDoubled(exchanges []Exchange) {
	seen := map[executionKey]bool{}
	for _, e := range exchanges {
		steps, _ := j.expecter.Expected(e.Request)
		for _, step := range steps {
			key := executionKeyOf(step)
			if !step.Stage.NonIdempotent || seen[key] {
				continue
			}
			seen[key] = true
			if j.starts[key] > 1 {
				j.addFinding(&j.summary.Doubled, "doubled: %s ran %d times on %s", key.service, j.starts[key], key.digest)
			}
		}
	}
}

// checkStray counts the executions that belong to no valid request.
func (j *judge) checkStray() {
	for key, count := range j.starts {
		if !j.expected[key] {
			j.addFinding(&j.summary.Stray, "stray: %s ran %d times on %s", key.service, count, key.digest)
		}
	}
}
