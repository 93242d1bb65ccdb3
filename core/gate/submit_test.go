package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestAttemptForAnotherIncarnationIsRefused(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.claimed()
	ask.Key.Side = incarnation + 1
	d := b.submit(ask)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonIncarnation)
	assert.Equal(t, len(b.started), 0)
}

func TestWorkThatCanNotFinishInTimeIsRefusedWithRetryAfter(t *testing.T) {
	b := newBench(t, Options{})
	b.measure(5, ms(100))
	for range 4 {
		b.admit(b.ask("a"))
	}
	ask := b.ask("a")
	ask.Remaining = ms(300)
	d := b.submit(ask)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonDeadline)
	// One runs and three wait, 100 ms each, and the ask takes 100 ms itself. Three
	// times the wait must fit into the other 200 ms.
	assert.Equal(t, d.Wait, ms(400))
	assert.Equal(t, d.RetryAfter, ms(1000)/3)
}

func TestCommittedWorkIsAdmittedUpToTheEdge(t *testing.T) {
	b := newBench(t, Options{})
	b.measure(5, ms(100))
	b.admit(b.ask("a"))
	b.admit(b.ask("a"))
	ask := b.ask("a")
	ask.Remaining = ms(300)
	assert.Equal(t, b.submit(ask).Reason, ReasonDeadline)
	committed := b.ask("a")
	committed.Remaining, committed.Committed = ms(299), true
	assert.Equal(t, b.submit(committed).Reason, ReasonDeadline)
	committed = b.ask("a")
	committed.Remaining, committed.Committed = ms(300), true
	b.admit(committed)
}

func TestDeadlineShorterThanServiceIsRefusedThoughTheQueueIsEmpty(t *testing.T) {
	b := newBench(t, Options{})
	b.measure(5, ms(100))
	ask := b.ask("a")
	ask.Remaining = ms(99)
	d := b.submit(ask)
	assert.Equal(t, d.Reason, ReasonDeadline)
	assert.Equal(t, len(b.started), 5)
}

func TestQueuedWorkWhoseDeadlineBecameImpossibleIsRefusedAsNotRun(t *testing.T) {
	b := newBench(t, Options{})
	b.measure(5, ms(100))
	b.admit(b.ask("a"))
	waiting := b.ask("a")
	waiting.Remaining = ms(400)
	waiting.Ticket = &Ticket{Nonce: 1, Clock: b.now}
	b.admit(waiting)
	b.advance(ms(299))
	assert.Equal(t, len(b.refused), 0)
	b.advance(ms(2))
	assert.Equal(t, b.refused[waiting.Key].Reason, ReasonDeadline)
	state, _ := b.g.Resolve(b.now, waiting.Key, *waiting.Ticket)
	assert.Equal(t, state, StateNotRun)
}

func TestModelThatIsNotLoadedIsRefused(t *testing.T) {
	b := newBench(t, Options{})
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1"}})
	ask := b.ask("a")
	ask.Model, ask.Version = "m", "2"
	assert.Equal(t, b.submit(ask).Reason, ReasonModelNotLoaded)
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1", "m@2"}})
	b.admit(ask)
	assert.Equal(t, b.g.Using("m@2"), 1)
	b.g.BeginUnload(b.now, "m@2")
	// The report lags and still shows it.
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1", "m@2"}})
	other := b.ask("a")
	other.Model, other.Version = "m", "2"
	assert.Equal(t, b.submit(other).Reason, ReasonModelNotLoaded)
	b.advance(defaultModelLag)
	assert.DeepEqual(t, b.g.Models(b.now), []string{"m@1", "m@2"})
}

func TestFirstInFirstOutBaselineTakesAllInOrderOfArrival(t *testing.T) {
	b := newBench(t, Options{FIFO: true, MaxQueued: 1})
	b.measure(5, ms(100))
	var keys []core.AttemptKey
	for i := range 6 {
		ask := b.ask(fmt.Sprint(i % 2))
		ask.Priority = i % 3
		ask.Remaining = ms(601)
		keys = append(keys, b.admit(ask).Key)
	}
	for range 6 {
		b.serve(ms(100))
	}
	assert.DeepEqual(t, b.started[5:], keys)
}

func TestDuplicateOfAKnownAttemptIsNeverRunAgain(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.admit(b.claimed())
	assert.Equal(t, b.submit(ask).Verdict, Attached)
	b.done(ask.Key)
	assert.Equal(t, b.submit(ask).Verdict, Attached)
	b.g.Acknowledge(b.now, ask.Key)
	b.advance(defaultKeepResult)
	d := b.submit(ask)
	assert.Equal(t, d.Verdict, Gone, "its output is dropped, and it did run: %+v", d)
	assert.Equal(t, len(b.started), 1)
}

func TestSameAttemptUnderAnotherClaimIsNotRun(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.admit(b.claimed())
	other := ask
	other.Ticket = &Ticket{Nonce: ask.Ticket.Nonce + 1, Clock: b.now}
	assert.Equal(t, b.submit(other).Verdict, Gone)
	state, _ := b.g.Resolve(b.now, ask.Key, *other.Ticket)
	assert.Equal(t, state, StateGone)
	assert.Equal(t, len(b.started), 1)
}

func TestQueueIsBounded(t *testing.T) {
	b := newBench(t, Options{MaxQueued: 3})
	for range 4 {
		b.admit(b.ask("a"))
	}
	d := b.submit(b.ask("a"))
	assert.Equal(t, d.Reason, ReasonQueueFull)
	assert.Equal(t, b.g.queue.size, 3)
}

func TestRefusedClaimIsNeverRunLater(t *testing.T) {
	b := newBench(t, Options{})
	b.g.SetDrain(b.now, DrainCall, true)
	ask := b.claimed()
	assert.Equal(t, b.submit(ask).Reason, ReasonDraining)
	b.g.SetDrain(b.now, DrainCall, false)
	d := b.submit(ask)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonTombstone)
}

func TestTicketOlderThanItsLifetimeIsRefused(t *testing.T) {
	b := newBench(t, Options{})
	ask := b.claimed()
	b.advance(DefaultTicketLifetime + 1)
	assert.Equal(t, b.submit(ask).Reason, ReasonTicketExpired)
	ahead := b.claimed()
	ahead.Ticket.Clock = b.now + time.Second
	assert.Equal(t, b.submit(ahead).Reason, ReasonInvalid)
}
