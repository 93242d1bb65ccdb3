package verdict

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/output"
)

// expecter expects one pipeline whose only stage is non-idempotent.
var expecter = caller.New(catalog.Catalog{
	Templates: []config.Template{{
		Name:   "p",
		Stages: []config.Stage{{Name: "pay", Service: "s", Kind: config.KindService, NonIdempotent: true}},
	}},
	Workspaces: []config.Workspace{{Name: "w"}},
})

// request is a request for the pipeline.
var request = caller.Request{Workspace: "w", Pipeline: "p", Body: []byte("a")}

// startRecord returns the ledger record of the stage's start with the given body.
func startRecord(body string) ledger.Record {
	return ledger.Record{Event: ledger.Start, Service: "s", InputDigest: output.Digest([]byte(body))}
}

// exchange returns an exchange of request with the given result.
func exchange(v caller.Verdict, outcome core.Outcome) Exchange {
	return Exchange{Request: request, Result: caller.Result{Verdict: v, Outcome: outcome}}
}

func TestJudge(t *testing.T) {
	complete := exchange(caller.Complete, core.OutcomeAnswered)
	notRun := exchange(caller.Problem, core.OutcomeNotRun)
	bad := notRun
	bad.Bad = true
	once := []ledger.Record{startRecord("a")}
	twice := []ledger.Record{startRecord("a"), startRecord("a")}
	cases := []struct {
		name      string
		exchanges []Exchange
		records   []ledger.Record
		want      Summary
	}{
		{"answered", []Exchange{complete}, once, Summary{Answered: 1}},
		{"sent twice, run once", []Exchange{complete, complete}, once, Summary{Answered: 2}},
		{"doubled", []Exchange{complete}, twice, Summary{Answered: 1, Doubled: 1}},
		{"doubled over two attempts", []Exchange{complete, complete}, twice, Summary{Answered: 2, Doubled: 1}},
		{"answered without running", []Exchange{complete}, nil, Summary{Answered: 1, Lost: 1}},
		{"not run", []Exchange{notRun}, nil, Summary{NotRun: 1}},
		{"falsely not run", []Exchange{notRun}, once, Summary{NotRun: 1, FalseNotRun: 1}},
		{"not run, then retried", []Exchange{notRun, complete}, once, Summary{NotRun: 1, Answered: 1}},
		{"falsely failed", []Exchange{exchange(caller.Problem, core.OutcomeFailed)}, once, Summary{Failed: 1, FalseNotRun: 1}},
		{"unknown", []Exchange{exchange(caller.Problem, core.OutcomeUnknown)}, once, Summary{Unknown: 1}},
		{"cut", []Exchange{exchange(caller.Truncated, "")}, once, Summary{Lost: 1}},
		{"broken", []Exchange{exchange(caller.Unreadable, "")}, nil, Summary{Lost: 1}},
		{"problem without outcome", []Exchange{exchange(caller.Problem, "")}, nil, Summary{Lost: 1}},
		{"crossed", []Exchange{exchange(caller.Mismatch, core.OutcomeAnswered)}, once, Summary{Crossed: 1}},
		{"foreign input", []Exchange{complete}, append(once, startRecord("b")), Summary{Answered: 1, Stray: 1}},
		{"bad request refused", []Exchange{bad}, nil, Summary{NotRun: 1}},
		{"bad request reached an upstream", []Exchange{bad}, once, Summary{NotRun: 1, Stray: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Judge(expecter, c.exchanges, c.records)
			got.Findings = nil
			c.want.Sent = len(c.exchanges)
			assert.DeepEqual(t, got, c.want)
		})
	}
}
