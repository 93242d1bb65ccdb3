package verdict

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/standin/answer"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/ledger"
)

// expecter knows one pipeline whose only stage must run at most once.
var expecter = caller.New(catalog.Catalog{
	Templates: []config.Template{{
		Name:   "p",
		Stages: []config.Stage{{Name: "pay", Service: "s", Kind: config.KindService, NonIdempotent: true}},
	}},
	Workspaces: []config.Workspace{{Name: "w"}},
})

// request is a request for the pipeline.
var request = caller.Request{Workspace: "w", Pipeline: "p", Body: []byte("a")}

// start is the record of the stage's execution on a body.
func start(body string) ledger.Record {
	return ledger.Record{Event: ledger.Start, Service: "s", InputDigest: answer.Digest([]byte(body))}
}

// got is an exchange of the request.
func got(v caller.Verdict, outcome core.Outcome) Exchange {
	return Exchange{Request: request, Result: caller.Result{Verdict: v, Outcome: outcome}}
}

func TestJudge(t *testing.T) {
	whole := got(caller.Whole, core.OutcomeAnswered)
	notRun := got(caller.Problem, core.OutcomeNotRun)
	bad := notRun
	bad.Bad = true
	once := []ledger.Record{start("a")}
	twice := []ledger.Record{start("a"), start("a")}
	cases := []struct {
		name      string
		exchanges []Exchange
		records   []ledger.Record
		want      Summary
	}{
		{"answered", []Exchange{whole}, once, Summary{Answered: 1}},
		{"asked twice, run once", []Exchange{whole, whole}, once, Summary{Answered: 2}},
		{"doubled", []Exchange{whole}, twice, Summary{Answered: 1, Doubled: 1}},
		{"doubled over two askings", []Exchange{whole, whole}, twice, Summary{Answered: 2, Doubled: 1}},
		{"answered without running", []Exchange{whole}, nil, Summary{Answered: 1, Lost: 1}},
		{"not run", []Exchange{notRun}, nil, Summary{NotRun: 1}},
		{"falsely not run", []Exchange{notRun}, once, Summary{NotRun: 1, FalseNotRun: 1}},
		{"not run, then asked again", []Exchange{notRun, whole}, once, Summary{NotRun: 1, Answered: 1}},
		{"falsely failed", []Exchange{got(caller.Problem, core.OutcomeFailed)}, once, Summary{Failed: 1, FalseNotRun: 1}},
		{"unknown", []Exchange{got(caller.Problem, core.OutcomeUnknown)}, once, Summary{Unknown: 1}},
		{"cut", []Exchange{got(caller.Cut, "")}, once, Summary{Lost: 1}},
		{"broken", []Exchange{got(caller.Broken, "")}, nil, Summary{Lost: 1}},
		{"problem without outcome", []Exchange{got(caller.Problem, "")}, nil, Summary{Lost: 1}},
		{"crossed", []Exchange{got(caller.Mismatch, core.OutcomeAnswered)}, once, Summary{Crossed: 1}},
		{"foreign input", []Exchange{whole}, append(once, start("b")), Summary{Answered: 1, Stray: 1}},
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
