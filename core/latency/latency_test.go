package latency_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

const ms = time.Millisecond

// epoch is the start of simulated time.
var epoch = time.Unix(0, 0)

// estimateOf returns the estimate of a stage with the given quantiles.
func estimateOf(p50, p95 time.Duration) latency.Estimate {
	return latency.Estimate{ServiceP50: p50, ServiceP95: p95}
}

// TestOneStragglerDoesNotMoveTheEstimate merges the reports of four equal upstreams and a
// slow one.
func TestOneStragglerDoesNotMoveTheEstimate(t *testing.T) {
	table := latency.NewTable()
	for i := range 5 {
		report := latency.Report{Estimate: estimateOf(10*ms, 20*ms), Finished: 50, At: epoch}
		if i == 0 {
			report.Estimate = estimateOf(100*ms, 200*ms)
		}
		table.Observe("encoder", core.UpstreamID(fmt.Sprint("u", i)), report)
	}
	got := table.Estimate("encoder", epoch)
	assert.Equal(t, got.ServiceP50, 10*ms)
	assert.Equal(t, got.ServiceP95, 20*ms)
	assert.Equal(t, got.Reporters, 5)
}

// TestStaleAndEmptyReportsDoNotCount checks that the estimate follows the only fresh report
// with samples.
func TestStaleAndEmptyReportsDoNotCount(t *testing.T) {
	table := latency.NewTable()
	now := epoch.Add(2 * time.Minute)
	table.Observe("llm", "old", latency.Report{Estimate: estimateOf(900*ms, 900*ms), Finished: 500, At: epoch})
	table.Observe("llm", "idle", latency.Report{At: now})
	table.Observe("llm", "idle too", latency.Report{At: now})
	table.Observe("llm", "busy", latency.Report{Estimate: estimateOf(10*ms, 30*ms), Finished: 1, At: now})
	got := table.Estimate("llm", now)
	assert.Equal(t, got.ServiceP50, 10*ms)
	assert.Equal(t, got.Reporters, 3)
	assert.Equal(t, table.Estimate("unheard", now), latency.Estimate{})
}

// TestSplitKeepsWhatLaterStagesNeed checks the bounds of the budget for any deadline and
// any stages.
func TestSplitKeepsWhatLaterStagesNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "stages")
		stages := make([]latency.Estimate, count)
		medians := make([]time.Duration, count)
		for i := range stages {
			p50 := time.Duration(rapid.IntRange(0, 500).Draw(t, "p50")) * ms
			tail := time.Duration(rapid.IntRange(0, 500).Draw(t, "tail")) * ms
			stages[i] = estimateOf(p50, p50+tail)
			stages[i].Wait = time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * ms
			medians[i] = stages[i].Wait + p50
		}
		i := rapid.IntRange(0, count-1).Draw(t, "stage")
		remaining := time.Duration(rapid.IntRange(0, 4000).Draw(t, "remaining")) * ms
		later := time.Duration(0)
		for _, median := range medians[i+1:] {
			later += median
		}
		budget, ok := latency.Split(remaining, stages, i)
		assert.Equal(t, ok, remaining >= medians[i]+later)
		if !ok {
			return
		}
		assert.Assert(t, budget >= medians[i], "the budget %s is below the median of the stage", budget)
		assert.Assert(t, budget <= remaining-later, "the budget %s leaves too little for the later stages", budget)
	})
}

// TestSplitGivesSlackToCurrentStage checks the split of one deadline at both of two stages.
func TestSplitGivesSlackToCurrentStage(t *testing.T) {
	stages := []latency.Estimate{estimateOf(10*ms, 20*ms), estimateOf(100*ms, 400*ms)}
	got, ok := latency.Split(3000*ms, stages, 1)
	assert.Assert(t, ok)
	assert.Equal(t, got, 3000*ms)
	got, ok = latency.Split(3000*ms, stages, 0)
	assert.Assert(t, ok)
	assert.Equal(t, got, 2600*ms)
}

// TestHedgeOnlyWhenItCanFinish checks the hedge delay, and that there is no hedge without
// the time for it or without quantiles.
func TestHedgeOnlyWhenItCanFinish(t *testing.T) {
	e := estimateOf(100*ms, 150*ms)
	delay, ok := latency.HedgeDelay(e, 300*ms)
	assert.Assert(t, ok)
	assert.Equal(t, delay, 150*ms)
	_, ok = latency.HedgeDelay(e, 249*ms)
	assert.Assert(t, !ok)
	_, ok = latency.HedgeDelay(latency.Estimate{}, time.Hour)
	assert.Assert(t, !ok)
}

// TestSilenceBounds checks the default, the floor and the factor of the bounds.
func TestSilenceBounds(t *testing.T) {
	assert.Equal(t, latency.FirstChunkTimeout(latency.Estimate{}), 2*time.Second)
	assert.Equal(t, latency.FirstChunkTimeout(latency.Estimate{FirstChunkP95: 5 * ms}), 250*ms)
	assert.Equal(t, latency.FirstChunkTimeout(latency.Estimate{FirstChunkP95: 440 * ms}), 1760*ms)
	assert.Equal(t, latency.ChunkGapTimeout(latency.Estimate{ChunkGapP95: 100 * ms}), 400*ms)
}

// TestForTokensOnlyShortens checks that a bound on the chunks can lower the estimate but
// not raise it.
func TestForTokensOnlyShortens(t *testing.T) {
	e := estimateOf(900*ms, 1800*ms)
	assert.Equal(t, e.ForTokens(4), e, "no chunk times are known")
	e.FirstChunkP50, e.FirstChunkP95, e.ChunkGapP95 = 100*ms, 200*ms, 30*ms
	short := e.ForTokens(11)
	assert.Equal(t, short.ServiceP50, 400*ms)
	assert.Equal(t, short.ServiceP95, 500*ms)
	assert.Equal(t, e.ForTokens(1000), e)
	assert.Equal(t, e.ForTokens(0), e)
}
