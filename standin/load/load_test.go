package load

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
)

// burstFlow is a flow with a rate of 100 per second, and ten times that between the first
// and the second second.
var burstFlow = Flow{
	Workspace: "w",
	Pipeline:  "p",
	Rate:      100,
	Bursts:    []Burst{{From: time.Second, To: 2 * time.Second, Factor: 10}},
	Keyed:     true,
	Deadline:  time.Second,
}

func TestScheduleIsFixedBySeed(t *testing.T) {
	first := Schedule(1, 4*time.Second, []Flow{burstFlow, burstFlow})
	assert.DeepEqual(t, first, Schedule(1, 4*time.Second, []Flow{burstFlow, burstFlow}))
	other := Schedule(2, 4*time.Second, []Flow{burstFlow, burstFlow})
	assert.Assert(t, first[0].At != other[0].At)
}

func TestScheduleFollowsTheRate(t *testing.T) {
	counts := make([]float64, 4)
	keys := map[string]bool{}
	last := time.Duration(0)
	for _, a := range Schedule(1, 4*time.Second, []Flow{burstFlow}) {
		assert.Assert(t, a.At >= last)
		last = a.At
		counts[a.At/time.Second]++
		keys[a.Request.Key] = true
	}
	total := 0.0
	for second, want := range []float64{100, 1000, 100, 100} {
		// The tolerance is five standard deviations of a Poisson count.
		assert.Assert(t, math.Abs(counts[second]-want) < 5*math.Sqrt(want), "second %d: %v", second, counts[second])
		total += counts[second]
	}
	assert.Equal(t, len(keys), int(total), "idempotency keys are not unique")
}

func TestSummaryCountsFromTheScheduledTime(t *testing.T) {
	arrival := Arrival{Deadline: time.Second, Request: caller.Request{Workspace: "w"}}
	complete := caller.Result{Verdict: caller.Complete, Outcome: core.OutcomeAnswered}
	records := []Record{
		{Arrival: arrival, Result: complete, Latency: time.Second},
		{Arrival: arrival, Result: complete, Latency: time.Second + 1},
		{Arrival: arrival, Result: caller.Result{Verdict: caller.Problem, Outcome: core.OutcomeNotRun}},
		{Arrival: arrival, Result: caller.Result{Verdict: caller.Truncated}},
	}
	report := SummarizeByWorkspace(records)["w"]
	assert.Equal(t, report.Sent, 4)
	assert.Equal(t, report.Attained, 1)
	assert.Equal(t, report.Answered, 2)
	assert.Equal(t, report.NotRun, 1)
	assert.Equal(t, report.Other, 1)
	assert.Equal(t, report.Attainment, 0.25)
	assert.Equal(t, report.Latency.Count, int64(2))
}
