package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestResolveOfAnUnseenAttemptForbidsItForGood(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.claimed()
	state, _ := b.g.Resolve(b.now, ask.Key, *ask.Ticket)
	assert.Equal(t, state, StateNotRun)
	d := b.submit(ask)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonTombstone)
	assert.Equal(t, len(b.started), 0)
}

func TestResolveFollowsAnAttemptThroughItsLife(t *testing.T) {
	b := newBench(t, Options{})
	running := b.admit(b.claimed())
	waiting := b.admit(b.claimed())
	expect := func(ask Ask, want State) {
		t.Helper()
		state, detail := b.g.Resolve(b.now, ask.Key, *ask.Ticket)
		assert.Equal(t, state, want, detail)
	}
	expect(running, StateRunning)
	expect(waiting, StateRunning)
	b.done(running.Key)
	expect(running, StateDone)
	b.g.Finish(b.now, waiting.Key, Ending{Kind: EndFailed, Detail: "broke"})
	expect(waiting, StateFailed)
	refused := b.admit(b.claimed())
	b.g.Finish(b.now, refused.Key, Ending{Kind: EndNotRun, Detail: "connection refused"})
	expect(refused, StateNotRun)
	assert.Equal(t, b.submit(refused).Verdict, Refused)
	other := b.claimed()
	other.Key.Side++
	expect(other, StateGone)
}

func TestForgettingAClaimRaisesTheHorizon(t *testing.T) {
	b := newBench(t, Options{MaxClaimed: 2})
	ran := b.admit(b.claimed())
	b.done(ran.Key)
	unseen := b.claimed()
	unseen.Ticket.Clock = ran.Ticket.Clock
	for range 2 {
		b.advance(ms(1))
		b.done(b.admit(b.claimed()).Key)
	}
	b.advance(0)
	assert.Equal(t, b.g.Memory().Horizon, ran.Ticket.Clock)
	state, _ := b.g.Resolve(b.now, ran.Key, *ran.Ticket)
	assert.Equal(t, state, StateGone, "it ran, so it must not be told as not run")
	assert.Equal(t, b.submit(ran).Verdict, Gone)
	assert.Equal(t, b.submit(unseen).Verdict, Gone)
	assert.Equal(t, len(b.started), 3)
}

func TestForgottenTombstoneStillForbids(t *testing.T) {
	b := newBench(t, Options{MaxClaimed: 1})
	ask := b.claimed()
	state, _ := b.g.Resolve(b.now, ask.Key, *ask.Ticket)
	assert.Equal(t, state, StateNotRun)
	for range 3 {
		b.advance(ms(1))
		b.done(b.admit(b.claimed()).Key)
	}
	assert.Equal(t, b.submit(ask).Verdict, Gone)
	assert.Equal(t, len(b.started), 3)
}

func TestClaimsAreForgottenByAge(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.admit(b.claimed())
	b.done(ask.Key)
	b.advance(defaultKeepClaimed - 1)
	state, _ := b.g.Resolve(b.now, ask.Key, *ask.Ticket)
	assert.Equal(t, state, StateDone)
	b.advance(1)
	assert.Equal(t, b.g.Memory().Attempts, 0)
	state, _ = b.g.Resolve(b.now, ask.Key, *ask.Ticket)
	assert.Equal(t, state, StateGone)
}

func TestCancelBeforeTheAttemptComesForbidsIt(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		b := newBench(t, Options{})
		ask := b.claimed()
		if !claimed {
			ask.Ticket = nil
		}
		assert.Assert(t, !b.g.Cancel(b.now, ask.Key, CauseHedgeLost))
		b.advance(defaultKeepResult)
		assert.Equal(t, b.submit(ask).Reason, ReasonCancelled)
		assert.Equal(t, len(b.started), 0)
	}
}

func TestMarkForgottenForWantOfRoomStillForbidsAClaim(t *testing.T) {
	b := newBench(t, Options{MaxUnclaimed: 1})
	ask := b.claimed()
	b.g.Cancel(b.now, ask.Key, CauseHedgeLost)
	b.g.Cancel(b.now, b.ask("w").Key, CauseHedgeLost)
	b.g.Cancel(b.now, b.ask("w").Key, CauseHedgeLost)
	b.advance(0)
	assert.Equal(t, b.submit(ask).Verdict, Gone)
	assert.Equal(t, len(b.started), 0)
}

func TestAttachToAnUnknownAttemptForbidsIt(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.claimed()
	d := b.g.Attach(b.now, ask.Key)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonUnknownAttempt)
	assert.Equal(t, b.submit(ask).Verdict, Refused)
	ask.Key.Side++
	assert.Equal(t, b.g.Attach(b.now, ask.Key).Verdict, Gone, "another incarnation may have run it")
}

func TestOutputsAreBoundedInBytes(t *testing.T) {
	b := newBench(t, Options{MaxKeptBytes: 25})
	var asks []Ask
	for range 3 {
		ask := b.admit(b.claimed())
		b.done(ask.Key)
		asks = append(asks, ask)
	}
	assert.Equal(t, b.g.Memory().KeptBytes, 20)
	state, _ := b.g.Resolve(b.now, asks[0].Key, *asks[0].Ticket)
	assert.Equal(t, state, StateGone)
	state, _ = b.g.Resolve(b.now, asks[2].Key, *asks[2].Ticket)
	assert.Equal(t, state, StateDone)
}

func TestIdempotentResultIsKeptUntilAcknowledgedOrAged(t *testing.T) {
	b := newBench(t, Options{})
	first, second := b.admit(b.ask("a")), b.admit(b.ask("a"))
	b.done(first.Key)
	b.done(second.Key)
	assert.Equal(t, b.g.Unacknowledged(), 2)
	b.g.Acknowledge(b.now, first.Key)
	assert.Equal(t, b.g.Attach(b.now, first.Key).Verdict, Gone)
	assert.Equal(t, b.g.Attach(b.now, second.Key).Verdict, Attached)
	b.advance(defaultKeepResult)
	assert.Equal(t, b.g.Memory(), Memory{Horizon: nothingForgotten})
}

func TestAttemptWithoutAReaderIsStoppedAfterTheGraceUnlessItIsClaimed(t *testing.T) {
	b := newBench(t, Options{Capacity: 2})
	idempotent, claimed := b.admit(b.ask("a")), b.admit(b.claimed())
	for _, key := range []core.AttemptKey{idempotent.Key, claimed.Key} {
		b.g.Unwatch(b.now, key, false)
	}
	b.advance(defaultGrace - 1)
	assert.Equal(t, len(b.stopped), 0)
	b.advance(1)
	assert.DeepEqual(t, b.stopped, map[core.AttemptKey]Cause{idempotent.Key: CauseCallerGone})
}

func TestReaderThatComesBackWithinTheGraceKeepsTheAttempt(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.admit(b.ask("a"))
	b.g.Unwatch(b.now, ask.Key, false)
	b.advance(defaultGrace - 1)
	b.g.Watch(ask.Key)
	b.advance(time.Minute)
	assert.Equal(t, len(b.stopped), 0)
}

func TestDeadlineStopsRunningWork(t *testing.T) {
	b := newBench(t, Options{Capacity: 2})
	idempotent, claimed := b.ask("a"), b.claimed()
	idempotent.Remaining, claimed.Remaining = time.Second, time.Second
	b.admit(idempotent)
	b.admit(claimed)
	b.advance(time.Second)
	assert.DeepEqual(t, b.stopped, map[core.AttemptKey]Cause{idempotent.Key: CauseDeadline})
	b.advance(defaultClaimedOverrun)
	assert.Equal(t, b.stopped[claimed.Key], CauseDeadline)
}

func TestCancelProvesNothingAboutWhatTheGateCanNotKnow(t *testing.T) {
	b := newBench(t, Options{MaxClaimed: 1})
	other := b.claimed().Key
	other.Side++
	assert.Assert(t, b.g.Cancel(b.now, other, CauseCallerGone), "another incarnation may have run it")
	ran := b.admit(b.claimed())
	b.done(ran.Key)
	b.advance(ms(1))
	b.done(b.admit(b.claimed()).Key)
	for range 2 {
		assert.Assert(t, b.g.Cancel(b.now, ran.Key, CauseCallerGone), "it ran, and was forgotten")
	}
}
