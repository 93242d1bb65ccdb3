package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestResolveOfAnUnseenAttemptPreventsItsRun(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.newClaimedAttempt()
	state, _ := b.g.Resolve(b.now, attempt.Key, *attempt.Ticket)
	assert.Equal(t, state, StateNotRun)
	d := b.submit(attempt)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonTombstone)
	assert.Equal(t, len(b.started), 0)
}

func TestResolveReportsEachPhaseOfAnAttempt(t *testing.T) {
	b := newTestBench(t, Options{})
	running := b.admit(b.newClaimedAttempt())
	waiting := b.admit(b.newClaimedAttempt())
	expect := func(attempt Attempt, want State) {
		t.Helper()
		state, detail := b.g.Resolve(b.now, attempt.Key, *attempt.Ticket)
		assert.Equal(t, state, want, detail)
	}
	expect(running, StateRunning)
	expect(waiting, StateRunning)
	b.finish(running.Key)
	expect(running, StateDone)
	b.g.Finish(b.now, waiting.Key, Ending{Kind: EndFailed, Detail: "broke"})
	expect(waiting, StateFailed)
	refused := b.admit(b.newClaimedAttempt())
	b.g.Finish(b.now, refused.Key, Ending{Kind: EndNotRun, Detail: "connection refused"})
	expect(refused, StateNotRun)
	assert.Equal(t, b.submit(refused).Verdict, Refused)
	other := b.newClaimedAttempt()
	other.Key.Side++
	expect(other, StateGone)
}

func TestForgettingAClaimRaisesTheHorizon(t *testing.T) {
	b := newTestBench(t, Options{MaxClaimed: 2})
	ran := b.admit(b.newClaimedAttempt())
	b.finish(ran.Key)
	unseen := b.newClaimedAttempt()
	unseen.Ticket.Clock = ran.Ticket.Clock
	for range 2 {
		b.advance(ms(1))
		b.finish(b.admit(b.newClaimedAttempt()).Key)
	}
	b.advance(0)
	assert.Equal(t, b.g.Memory().Horizon, ran.Ticket.Clock)
	state, _ := b.g.Resolve(b.now, ran.Key, *ran.Ticket)
	assert.Equal(t, state, StateGone, "it ran, so it must not be reported as not run")
	assert.Equal(t, b.submit(ran).Verdict, Gone)
	assert.Equal(t, b.submit(unseen).Verdict, Gone)
	assert.Equal(t, len(b.started), 3)
}

func TestForgottenTombstoneStillPreventsARun(t *testing.T) {
	b := newTestBench(t, Options{MaxClaimed: 1})
	attempt := b.newClaimedAttempt()
	state, _ := b.g.Resolve(b.now, attempt.Key, *attempt.Ticket)
	assert.Equal(t, state, StateNotRun)
	for range 3 {
		b.advance(ms(1))
		b.finish(b.admit(b.newClaimedAttempt()).Key)
	}
	assert.Equal(t, b.submit(attempt).Verdict, Gone)
	assert.Equal(t, len(b.started), 3)
}

func TestClaimsAreForgottenByAge(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.admit(b.newClaimedAttempt())
	b.finish(attempt.Key)
	b.advance(defaultKeepClaimed - 1)
	state, _ := b.g.Resolve(b.now, attempt.Key, *attempt.Ticket)
	assert.Equal(t, state, StateDone)
	b.advance(1)
	assert.Equal(t, b.g.Memory().Attempts, 0)
	state, _ = b.g.Resolve(b.now, attempt.Key, *attempt.Ticket)
	assert.Equal(t, state, StateGone)
}

func TestCancelBeforeTheAttemptArrivesPreventsItsRun(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		b := newTestBench(t, Options{})
		attempt := b.newClaimedAttempt()
		if !claimed {
			attempt.Ticket = nil
		}
		assert.Assert(t, !b.g.Cancel(b.now, attempt.Key, CauseHedgeLost))
		b.advance(defaultKeepResult)
		assert.Equal(t, b.submit(attempt).Reason, ReasonCancelled)
		assert.Equal(t, len(b.started), 0)
	}
}

func TestKeyOnlyTombstoneForgottenEarlyStillPreventsAClaimedRun(t *testing.T) {
	b := newTestBench(t, Options{MaxUnclaimed: 1})
	attempt := b.newClaimedAttempt()
	b.g.Cancel(b.now, attempt.Key, CauseHedgeLost)
	b.g.Cancel(b.now, b.newAttempt("w").Key, CauseHedgeLost)
	b.g.Cancel(b.now, b.newAttempt("w").Key, CauseHedgeLost)
	b.advance(0)
	assert.Equal(t, b.submit(attempt).Verdict, Gone)
	assert.Equal(t, len(b.started), 0)
}

func TestAttachToAnUnknownAttemptPreventsItsRun(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.newClaimedAttempt()
	d := b.g.Attach(b.now, attempt.Key)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonUnknownAttempt)
	assert.Equal(t, b.submit(attempt).Verdict, Refused)
	attempt.Key.Side++
	assert.Equal(t, b.g.Attach(b.now, attempt.Key).Verdict, Gone, "another incarnation may have run it")
}

func TestOutputsAreBoundedInBytes(t *testing.T) {
	b := newTestBench(t, Options{MaxKeptBytes: 25})
	var attempts []Attempt
	for range 3 {
		attempt := b.admit(b.newClaimedAttempt())
		b.finish(attempt.Key)
		attempts = append(attempts, attempt)
	}
	assert.Equal(t, b.g.Memory().KeptBytes, 20)
	state, _ := b.g.Resolve(b.now, attempts[0].Key, *attempts[0].Ticket)
	assert.Equal(t, state, StateGone)
	state, _ = b.g.Resolve(b.now, attempts[2].Key, *attempts[2].Ticket)
	assert.Equal(t, state, StateDone)
}

func TestIdempotentResultIsKeptUntilAcknowledgedOrExpired(t *testing.T) {
	b := newTestBench(t, Options{})
	first, second := b.admit(b.newAttempt("a")), b.admit(b.newAttempt("a"))
	b.finish(first.Key)
	b.finish(second.Key)
	assert.Equal(t, b.g.Unacknowledged(), 2)
	b.g.Acknowledge(b.now, first.Key)
	assert.Equal(t, b.g.Attach(b.now, first.Key).Verdict, Gone)
	assert.Equal(t, b.g.Attach(b.now, second.Key).Verdict, Attached)
	b.advance(defaultKeepResult)
	assert.Equal(t, b.g.Memory(), Memory{Horizon: noHorizon})
}

func TestAttemptWithoutAReaderIsStoppedAfterTheGracePeriodUnlessClaimed(t *testing.T) {
	b := newTestBench(t, Options{Capacity: 2})
	idempotent, claimed := b.admit(b.newAttempt("a")), b.admit(b.newClaimedAttempt())
	for _, key := range []core.AttemptKey{idempotent.Key, claimed.Key} {
		b.g.Unwatch(b.now, key, false)
	}
	b.advance(defaultGrace - 1)
	assert.Equal(t, len(b.stopped), 0)
	b.advance(1)
	assert.DeepEqual(t, b.stopped, map[core.AttemptKey]Cause{idempotent.Key: CauseCallerGone})
}

func TestReaderThatReturnsWithinTheGracePeriodKeepsTheAttempt(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.admit(b.newAttempt("a"))
	b.g.Unwatch(b.now, attempt.Key, false)
	b.advance(defaultGrace - 1)
	b.g.Watch(attempt.Key)
	b.advance(time.Minute)
	assert.Equal(t, len(b.stopped), 0)
}

func TestDeadlineStopsRunningWork(t *testing.T) {
	b := newTestBench(t, Options{Capacity: 2})
	idempotent, claimed := b.newAttempt("a"), b.newClaimedAttempt()
	idempotent.Remaining, claimed.Remaining = time.Second, time.Second
	b.admit(idempotent)
	b.admit(claimed)
	b.advance(time.Second)
	assert.DeepEqual(t, b.stopped, map[core.AttemptKey]Cause{idempotent.Key: CauseDeadline})
	b.advance(defaultClaimedOverrun)
	assert.Equal(t, b.stopped[claimed.Key], CauseDeadline)
}

func TestCancelOfAnAttemptOfUnknownHistoryReportsThatItMayHaveRun(t *testing.T) {
	b := newTestBench(t, Options{MaxClaimed: 1})
	other := b.newClaimedAttempt().Key
	other.Side++
	assert.Assert(t, b.g.Cancel(b.now, other, CauseCallerGone), "another incarnation may have run it")
	ran := b.admit(b.newClaimedAttempt())
	b.finish(ran.Key)
	b.advance(ms(1))
	b.finish(b.admit(b.newClaimedAttempt()).Key)
	for range 2 {
		assert.Assert(t, b.g.Cancel(b.now, ran.Key, CauseCallerGone), "it ran, and was forgotten")
	}
}
