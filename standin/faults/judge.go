package faults

import (
	"fmt"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/answer"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/ledger"
)

// Counts is what a cell's callers and upstreams recorded.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Excused counts requests without an answer because the trial took the entry.
	Excused int `json:"excused"`
	// Starts counts executions that began, over all stages, and Paid those of the
	// stage that may run at most once.
	Starts int `json:"starts"`
	Paid   int `json:"paid"`
}

// Invariant names something that must always hold.
type Invariant string

// The invariants. Each finding names the one that is violated.
const (
	// NotLost: each request has its final answer in time.
	NotLost Invariant = "lost"
	// NotDoubled: a non-idempotent stage runs at most once for one key.
	NotDoubled Invariant = "doubled"
	// NotCrossed: an answer is whole and the request's own.
	NotCrossed Invariant = "crossed"
	// NotStray: no upstream works on what no request asks for.
	NotStray Invariant = "stray"
	// TrueNotRun: what was told as not run, or failed, ran no claimed stage.
	TrueNotRun Invariant = "false not_run"
	// TrueUnknown: an outcome is unknown only where it can't be known.
	TrueUnknown Invariant = "needless unknown"
	// NotCut: a planned stop harms no request in flight and ends with code 0.
	NotCut Invariant = "cut"
	// NoLateWork: a leaving upstream gets no work after two seconds.
	NoLateWork Invariant = "late work"
	// Recovers: once the fault is over, requests are answered again.
	Recovers Invariant = "not recovered"
	// NotReverted: a configuration is in force everywhere and never goes back.
	NotReverted Invariant = "reverted"
	// NotFenced: no engine obeys an order older than one that it has obeyed.
	NotFenced Invariant = "old order obeyed"
	// Harmless: a fault that must not harm a request does not.
	Harmless Invariant = "harmed"
	// HistoryKept: every revision that is kept can be read.
	HistoryKept Invariant = "history lost"
	// Reached: the cell got to its step.
	Reached Invariant = "step not reached"
)

// Finding is one violation.
type Finding struct {
	Invariant Invariant `json:"invariant"`
	Detail    string    `json:"detail"`
}

// String implements fmt.Stringer.
func (f Finding) String() string { return string(f.Invariant) + ": " + f.Detail }

// judge collects a cell's findings.
type judge struct {
	counts   Counts
	findings []Finding
	// clients work out the steps of a request, one for each configuration.
	clients []*caller.Client
	records []ledger.Record
	// paid holds, for each input of the claimed stage, the executions that began.
	paid map[string][]ledger.Record
}

// newJudge returns a judge over the records of all upstreams.
func newJudge(catalogs []catalog.Catalog, records []ledger.Record) *judge {
	j := &judge{records: records, paid: map[string][]ledger.Record{}}
	for _, c := range catalogs {
		j.clients = append(j.clients, caller.New(c))
	}
	for _, r := range records {
		if r.Event != ledger.Start {
			continue
		}
		j.counts.Starts++
		if r.Service == services[stagePay] {
			j.counts.Paid++
			j.paid[r.InputDigest] = append(j.paid[r.InputDigest], r)
		}
	}
	return j
}

// expected returns the steps of an exchange under its configuration.
func (j *judge) expected(e Exchange) []answer.Step {
	steps, _ := j.clients[e.Revision].Expected(e.Request)
	return steps
}

// find records a violation.
func (j *judge) find(invariant Invariant, format string, args ...any) {
	j.findings = append(j.findings, Finding{invariant, fmt.Sprintf(format, args...)})
}

// exchanges checks all exchanges.
func (j *judge) exchanges(all []Exchange) {
	for _, e := range all {
		j.count(e)
		j.checkAnswer(e)
		j.checkNotRun(e)
		j.checkPaid(e)
	}
	j.checkDoubled()
	j.checkStray(all)
}

// count counts one outcome.
func (j *judge) count(e Exchange) {
	c := &j.counts
	c.Sent++
	switch {
	case e.Result.Verdict == caller.Whole:
		c.Answered++
	case e.Result.Verdict != caller.Problem && e.Excused != "":
		c.Excused++
	case e.Result.Outcome == core.OutcomeNotRun:
		c.NotRun++
	case e.Result.Outcome == core.OutcomeFailed:
		c.Failed++
	case e.Result.Outcome == core.OutcomeUnknown:
		c.Unknown++
	}
}

// describe names an exchange in a finding.
func describe(e Exchange) string {
	r := e.Result
	return fmt.Sprintf("%s %s: %s %s after %d ms: %s",
		e.Request.Key, r.RequestID, r.Verdict, r.Outcome, r.Latency.Milliseconds(), r.Detail)
}

// checkAnswer checks that the caller has its own final answer in time.
func (j *judge) checkAnswer(e Exchange) {
	switch e.Result.Verdict {
	case caller.Mismatch:
		j.find(NotCrossed, "%s", describe(e))
	case caller.Cut, caller.Broken:
		if e.Excused == "" {
			j.find(NotLost, "%s", describe(e))
		}
	case caller.Problem:
		if !final(e.Result.Outcome) {
			j.find(NotLost, "no final outcome: %s", describe(e))
		}
	}
	if e.Excused == "" && e.Result.Latency > deadline+grace {
		j.find(NotLost, "late: %s", describe(e))
	}
}

// final tells whether an outcome of a problem document is final.
func final(o core.Outcome) bool {
	return o == core.OutcomeNotRun || o == core.OutcomeFailed || o == core.OutcomeUnknown
}

// checkNotRun checks that a request that was told to have run no claimed stage
// has run none, by the name that each execution carries.
func (j *judge) checkNotRun(e Exchange) {
	if e.Result.Outcome != core.OutcomeNotRun && e.Result.Outcome != core.OutcomeFailed {
		return
	}
	if e.Result.RequestID == "" {
		return
	}
	for _, records := range j.paid {
		for _, r := range records {
			if strings.HasPrefix(r.ID, e.Result.RequestID+"/") {
				j.find(TrueNotRun, "%s ran on %s: %s", r.ID, r.Upstream, describe(e))
			}
		}
	}
}

// checkPaid checks that an answer has its execution.
func (j *judge) checkPaid(e Exchange) {
	if e.Result.Verdict != caller.Whole {
		return
	}
	for _, step := range j.expected(e) {
		if step.Stage.NonIdempotent && len(j.paid[answer.Digest(step.Input)]) == 0 {
			j.find(NotLost, "answered, but %s never ran: %s", step.Stage.Name, describe(e))
		}
	}
}

// checkDoubled checks that no claimed stage began twice for one input. Inputs of
// different keys differ.
func (j *judge) checkDoubled() {
	for digest, records := range j.paid {
		if len(records) < 2 {
			continue
		}
		var ids []string
		for _, r := range records {
			ids = append(ids, r.ID+" on "+r.Upstream)
		}
		j.find(NotDoubled, "input %s ran %d times: %s", digest, len(records), strings.Join(ids, ", "))
	}
}

// checkStray checks that each execution belongs to a request. A request without
// a whole answer may have been worked on under any of the configurations.
func (j *judge) checkStray(all []Exchange) {
	known := map[string]bool{}
	for _, e := range all {
		for i := range j.clients {
			if e.Result.Verdict == caller.Whole && i != e.Revision {
				continue
			}
			steps, _ := j.clients[i].Expected(e.Request)
			for _, step := range steps {
				known[step.Stage.Service+" "+answer.Digest(step.Input)] = true
			}
		}
	}
	for _, r := range j.records {
		if r.Event == ledger.Start && !known[r.Service+" "+r.InputDigest] {
			j.find(NotStray, "%s worked on %s for %s", r.Upstream, r.InputDigest, r.ID)
		}
	}
}

// unknowns checks that outcomes are unknown only if the trial left room for it:
// the claimed stage began for the key, or a fault touched what could tell.
func (j *judge) unknowns(all []Exchange, room bool) {
	for _, e := range all {
		if e.Result.Outcome != core.OutcomeUnknown || room || j.began(e) {
			continue
		}
		j.find(TrueUnknown, "%s", describe(e))
	}
}

// began tells whether the claimed stage of an exchange began.
func (j *judge) began(e Exchange) bool {
	for _, step := range j.expected(e) {
		if step.Stage.NonIdempotent && len(j.paid[answer.Digest(step.Input)]) > 0 {
			return true
		}
	}
	return false
}

// lateWork checks that an upstream began nothing later than limit after notice.
func (j *judge) lateWork(upstreamName string, notice time.Time, limit time.Duration) {
	for _, r := range j.records {
		at := time.UnixMicro(r.TimeUS)
		if r.Event == ledger.Start && r.Upstream == upstreamName && at.After(notice.Add(limit)) {
			j.find(NoLateWork, "%s began %s %d ms after the notice", upstreamName, r.ID, at.Sub(notice).Milliseconds())
		}
	}
}

// orders checks that no engine obeyed an order older than one it had obeyed.
func (j *judge) orders() {
	last := map[string]ledger.Record{}
	for _, r := range j.records {
		if r.Event != ledger.Order {
			continue
		}
		if before, ok := last[r.Upstream]; ok && r.Fencing < before.Fencing {
			j.find(NotFenced, "%s obeyed %q of %d after %q of %d", r.Upstream, r.Detail, r.Fencing, before.Detail, before.Fencing)
			continue
		}
		last[r.Upstream] = r
	}
}
