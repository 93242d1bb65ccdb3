package trial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/standin/bench/account"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/load"
)

// recordOf returns the record of a request that was due at the given time.
func recordOf(at, latency time.Duration, workspace string, verdict caller.Verdict) load.Record {
	return load.Record{
		Arrival: load.Arrival{At: at, Deadline: time.Second, Request: caller.Request{Workspace: workspace}},
		Result:  caller.Result{Verdict: verdict, RequestID: "r-" + workspace + at.String(), Outcome: core.OutcomeNotRun, Detail: "wait 7 ms"},
		Latency: latency,
	}
}

// records holds a response in time, a late response, a refusal, and a response that
// is complete only after the load has ended.
var records = []load.Record{
	recordOf(0, 500*time.Millisecond, "a", caller.Complete),
	recordOf(1500*time.Millisecond, 1100*time.Millisecond, "b", caller.Complete),
	recordOf(2100*time.Millisecond, 10*time.Millisecond, "a", caller.Problem),
	recordOf(2900*time.Millisecond, 900*time.Millisecond, "b", caller.Complete),
}

func TestRecordsAreJudgedByTheTimeTheyAreDue(t *testing.T) {
	assert.Equal(t, len(dueFrom(records, 1500*time.Millisecond)), 3)
	assert.Equal(t, len(withoutWorkspace(records, "a")), 2)
}

func TestGoodputCountsCompletionsInTime(t *testing.T) {
	assert.Equal(t, goodput(records, 0, 3*time.Second), 1.0/3)
	assert.Equal(t, goodput(records, 0, 4*time.Second), 2.0/4)
	assert.Equal(t, goodput(records, time.Second, 3*time.Second), 0.0)
}

func TestSeriesAndOutcomes(t *testing.T) {
	assert.DeepEqual(t, series(records, 3*time.Second), []report.Second{
		{Offered: 1, Attained: 1}, {Offered: 1}, {Offered: 2, Attained: 1},
	})
	assert.DeepEqual(t, outcomes(records), map[string]account.CallerOutcome{
		"r-a0s": account.Attained, "r-b1.5s": account.Late, "r-a2.1s": account.Unanswered, "r-b2.9s": account.Attained,
	})
	assert.DeepEqual(t, problems(records), map[string]int{"late": 1, "problem not_run: wait # ms": 1})
}

func TestMeansSkipProcessesThatNoLongerRun(t *testing.T) {
	usageOf := func(cpu, bytes, probes float64) nodeUsage {
		return nodeUsage{
			readable:   true,
			reading:    usage.Reading{CPUSeconds: cpu, ResidentBytes: 10},
			counters:   map[string]float64{"acaciawinch_entry_routing_probe_bytes": probes, "go_threads": 9},
			fleetBytes: bytes,
		}
	}
	before := snapshot{entries: []nodeUsage{usageOf(1, 100, 0), usageOf(1, 100, 0)}, otherCPU: []float64{5, 5}}
	after := snapshot{entries: []nodeUsage{usageOf(3, 500, 80), {}}, otherCPU: []float64{6, 0}}
	got := role(before.entries, after.entries, 2)
	assert.DeepEqual(t, got, report.Role{
		CoreShare:     1,
		ResidentBytes: 10,
		FleetBytes:    200,
		ProbeBytes:    40,
		Counters:      map[string]float64{"acaciawinch_entry_routing_probe_bytes": 80},
	})
	assert.Equal(t, cores(before, after, 2), 1.5)
}
