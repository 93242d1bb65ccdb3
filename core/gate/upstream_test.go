package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUpstreamThatHasNotReportedTakesNoWork(t *testing.T) {
	b := newTestBench(t, Options{})
	b.g = New(Options{Incarnation: incarnation, Capacity: 1})
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled)
	b.g.ObserveReport(b.now, Report{})
	b.admit(b.newAttempt("a"))
}

func TestUpstreamWithoutProgressIsStalledAndItsQueueRefused(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	b.admit(b.newAttempt("a"))
	waiting := b.admit(b.newAttempt("a"))
	b.advance(ms(500))
	assert.Assert(t, !b.g.Load(b.now).Stalled)
	b.advance(ms(1))
	assert.Assert(t, b.g.Load(b.now).Stalled)
	assert.Equal(t, b.refused[waiting.Key].Reason, ReasonStalled)
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled)
	assert.Equal(t, b.g.State(), stateStalled)
}

func TestProgressEndsAStall(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	attempt := b.admit(b.newAttempt("a"))
	b.advance(time.Second)
	assert.Assert(t, b.g.Load(b.now).Stalled)
	b.g.Progress(b.now, attempt.Key)
	b.advance(0)
	assert.Assert(t, !b.g.Load(b.now).Stalled)
	b.admit(b.newAttempt("a"))
}

func TestHungUpstreamIsTriedWithOneAttempt(t *testing.T) {
	b := newTestBench(t, Options{Capacity: 4})
	b.measure(5, ms(100))
	stuck := b.admit(b.newAttempt("a"))
	b.advance(ms(600))
	b.g.Finish(b.now, stuck.Key, Ending{Kind: EndFailed})
	b.advance(0)
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled)
	b.advance(defaultTrialMin)
	assert.Assert(t, !b.g.Load(b.now).Stalled, "a trial is due")
	trial := b.admit(b.newAttempt("a"))
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled, "one trial at a time")
	b.advance(ms(600))
	b.g.Finish(b.now, trial.Key, Ending{Kind: EndFailed})
	b.advance(defaultTrialMin)
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled, "the delay doubles")
	b.advance(defaultTrialMin)
	trial = b.admit(b.newAttempt("a"))
	b.finish(trial.Key)
	b.admit(b.newAttempt("a"))
	b.admit(b.newAttempt("a"))
	assert.Equal(t, len(b.g.running), 2)
}

func TestSilentUpstreamIsStalledUntilItResponds(t *testing.T) {
	b := newTestBench(t, Options{})
	b.g.ObserveSilence(b.now)
	assert.Assert(t, !b.g.Load(b.now).Stalled)
	b.g.ObserveSilence(b.now)
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled)
	b.advance(time.Minute)
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonStalled)
	b.g.ObserveReport(b.now, Report{})
	b.admit(b.newAttempt("a"))
}

func TestUnfinishedSlowAttemptsRaiseTheEstimates(t *testing.T) {
	b := newTestBench(t, Options{Capacity: 4})
	b.measure(11, ms(50))
	for range 4 {
		b.admit(b.newAttempt("a"))
	}
	b.advance(ms(50))
	assert.Equal(t, b.g.Load(b.now).ServiceP50, ms(50))
	b.advance(ms(250))
	load := b.g.Load(b.now)
	assert.Equal(t, load.Wait, ms(250), "overdue work is expected to take as long again")
	assert.Equal(t, load.ServiceP95, ms(300))
}

func TestDrainLastsUntilEverySourceEndsIt(t *testing.T) {
	b := newTestBench(t, Options{})
	b.g.ObserveReport(b.now, Report{Draining: true})
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonDraining)
	b.g.SetDrain(b.now, DrainHostList, true)
	b.g.ObserveReport(b.now, Report{})
	assert.Equal(t, b.submit(b.newAttempt("a")).Reason, ReasonDraining, "one source remains active")
	assert.Equal(t, b.g.State(), stateDrained)
	b.g.SetDrain(b.now, DrainHostList, false)
	b.admit(b.newAttempt("a"))
}

func TestDrainLetsWorkInFlightFinishAndEndsTheQueue(t *testing.T) {
	b := newTestBench(t, Options{})
	running, next, last := b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a"))
	b.g.SetDrain(b.now, DrainCall, true)
	b.advance(ms(100))
	b.finish(running.Key)
	assert.Equal(t, b.started[1], next.Key, "queued attempts still start within the drain window")
	b.advance(ms(450))
	b.g.Progress(b.now, next.Key)
	b.advance(defaultDrainWindow - ms(550))
	assert.Equal(t, b.refused[last.Key].Reason, ReasonDraining)
	assert.Equal(t, len(b.stopped), 0)
	assert.Equal(t, b.g.State(), stateDraining)
	b.finish(next.Key)
	assert.Equal(t, b.g.State(), stateDrained)
}

func TestOrdersWithAStaleFencingTokenAreRefused(t *testing.T) {
	b := newTestBench(t, Options{})
	assert.Assert(t, b.g.Fence(5))
	assert.Assert(t, b.g.Fence(5), "several orders of one plan carry one token")
	assert.Assert(t, !b.g.Fence(4))
	b.g.ObserveReport(b.now, Report{LastFencing: 9})
	assert.Assert(t, !b.g.Fence(8), "the engine has seen a higher token")
	assert.Assert(t, b.g.Fence(9))
}

func TestPassesAreChargedOnceToTheirCause(t *testing.T) {
	b := newTestBench(t, Options{Capacity: 10})
	useful, lost, late, gone := b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a"))
	failed, notRun := b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a"))
	b.finish(useful.Key)
	b.g.Acknowledge(b.now, useful.Key)
	b.g.Cancel(b.now, useful.Key, CauseSuperseded)
	b.finish(lost.Key)
	assert.Assert(t, b.g.Cancel(b.now, lost.Key, CauseHedgeLost))
	assert.Assert(t, b.g.Cancel(b.now, late.Key, CauseDeadline))
	b.g.Finish(b.now, late.Key, Ending{Kind: EndFailed, Cost: 3})
	b.g.Finish(b.now, failed.Key, Ending{Kind: EndFailed, Cost: 1})
	b.g.Finish(b.now, notRun.Key, Ending{Kind: EndNotRun})
	b.finish(gone.Key)
	b.advance(defaultKeepResult)
	assert.DeepEqual(t, b.g.Charges(), []Charge{
		{Cause: CauseUseful, Passes: 1, Cost: 1},
		{Cause: CauseHedgeLost, Passes: 1, Cost: 1},
		{Cause: CauseDeadline, Passes: 1, Cost: 3},
		{Cause: CauseCallerGone, Passes: 1, Cost: 1},
		{Cause: CauseSuperseded},
		{Cause: CauseFailed, Passes: 1, Cost: 1},
	})
}
