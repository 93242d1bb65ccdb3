package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestAttemptForAnotherIncarnationIsRefused(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.newClaimedAttempt()
	attempt.Key.Side = incarnation + 1
	d := b.submit(attempt)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonIncarnation)
	assert.Equal(t, len(b.started), 0)
}

func TestWorkThatCanNotFinishInTimeIsRefusedWithRetryAfter(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	for range 4 {
		b.admit(b.newAttempt("a"))
	}
	attempt := b.newAttempt("a")
	attempt.Remaining = ms(300)
	d := b.submit(attempt)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonDeadline)
	// One attempt runs and three wait, 100 ms each, and the new one takes 100 ms itself.
	// Three times the wait must fit into the other 200 ms.
	assert.Equal(t, d.Wait, ms(400))
	assert.Equal(t, d.RetryAfter, ms(1000)/3)
}

func TestCommittedWorkIsAdmittedWithoutWaitMargin(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	b.admit(b.newAttempt("a"))
	b.admit(b.newAttempt("a"))
	attempt := b.newAttempt("a")
	attempt.Remaining = ms(300)
	assert.Equal(t, b.submit(attempt).Reason, ReasonDeadline)
	committed := b.newAttempt("a")
	committed.Remaining, committed.Committed = ms(299), true
	assert.Equal(t, b.submit(committed).Reason, ReasonDeadline)
	committed = b.newAttempt("a")
	committed.Remaining, committed.Committed = ms(300), true
	b.admit(committed)
}

func TestDeadlineShorterThanServiceTimeIsRefusedWithAnEmptyQueue(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	attempt := b.newAttempt("a")
	attempt.Remaining = ms(99)
	d := b.submit(attempt)
	assert.Equal(t, d.Reason, ReasonDeadline)
	assert.Equal(t, len(b.started), 5)
}

func TestQueuedWorkWhoseDeadlineBecameImpossibleIsRefusedAsNotRun(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	b.admit(b.newAttempt("a"))
	waiting := b.newAttempt("a")
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
	b := newTestBench(t, Options{})
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1"}})
	attempt := b.newAttempt("a")
	attempt.Model, attempt.Version = "m", "2"
	assert.Equal(t, b.submit(attempt).Reason, ReasonModelNotLoaded)
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1", "m@2"}})
	b.admit(attempt)
	assert.Equal(t, b.g.CountUsing("m@2"), 1)
	b.g.BeginUnload(b.now, "m@2")
	// The report is delayed and still lists the model.
	b.g.ObserveReport(b.now, Report{Models: []string{"m@1", "m@2"}})
	other := b.newAttempt("a")
	other.Model, other.Version = "m", "2"
	assert.Equal(t, b.submit(other).Reason, ReasonModelNotLoaded)
	b.advance(defaultModelReportLag)
	assert.DeepEqual(t, b.g.Models(b.now), []string{"m@1", "m@2"})
}

func TestFIFOBaselineAdmitsAllInOrderOfArrival(t *testing.T) {
	b := newTestBench(t, Options{FIFO: true, MaxQueued: 1})
	b.measure(5, ms(100))
	var keys []core.AttemptKey
	for i := range 6 {
		attempt := b.newAttempt(fmt.Sprint(i % 2))
		attempt.Priority = i % 3
		attempt.Remaining = ms(601)
		keys = append(keys, b.admit(attempt).Key)
	}
	for range 6 {
		b.finishOldest(ms(100))
	}
	assert.DeepEqual(t, b.started[5:], keys)
}

func TestDuplicateOfAKnownAttemptIsNeverRunAgain(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.admit(b.newClaimedAttempt())
	assert.Equal(t, b.submit(attempt).Verdict, Attached)
	b.finish(attempt.Key)
	assert.Equal(t, b.submit(attempt).Verdict, Attached)
	b.g.Acknowledge(b.now, attempt.Key)
	b.advance(defaultKeepResult)
	d := b.submit(attempt)
	assert.Equal(t, d.Verdict, Gone, "its output is dropped, and it did run: %+v", d)
	assert.Equal(t, len(b.started), 1)
}

func TestSameAttemptUnderAnotherClaimIsNotRun(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.admit(b.newClaimedAttempt())
	other := attempt
	other.Ticket = &Ticket{Nonce: attempt.Ticket.Nonce + 1, Clock: b.now}
	assert.Equal(t, b.submit(other).Verdict, Gone)
	state, _ := b.g.Resolve(b.now, attempt.Key, *other.Ticket)
	assert.Equal(t, state, StateGone)
	assert.Equal(t, len(b.started), 1)
}

func TestQueueIsBounded(t *testing.T) {
	b := newTestBench(t, Options{MaxQueued: 3})
	for range 4 {
		b.admit(b.newAttempt("a"))
	}
	d := b.submit(b.newAttempt("a"))
	assert.Equal(t, d.Reason, ReasonQueueFull)
	assert.Equal(t, b.g.queue.size, 3)
}

func TestRefusedClaimIsNeverRunLater(t *testing.T) {
	b := newTestBench(t, Options{})
	b.g.SetDrain(b.now, DrainCall, true)
	attempt := b.newClaimedAttempt()
	assert.Equal(t, b.submit(attempt).Reason, ReasonDraining)
	b.g.SetDrain(b.now, DrainCall, false)
	d := b.submit(attempt)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonTombstone)
}

func TestTicketOlderThanItsLifetimeIsRefused(t *testing.T) {
	b := newTestBench(t, Options{})
	attempt := b.newClaimedAttempt()
	b.advance(DefaultTicketLifetime + 1)
	assert.Equal(t, b.submit(attempt).Reason, ReasonTicketExpired)
	ahead := b.newClaimedAttempt()
	ahead.Ticket.Clock = b.now + time.Second
	assert.Equal(t, b.submit(ahead).Reason, ReasonInvalid)
}
