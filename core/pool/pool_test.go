package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

// settings are the settings of a pool whose calls take 200 ms and 20 ms per item.
var settings = routes.Pool{Slots: 1, Queue: 2, Batch: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond, RoomBytes: 1 << 30}

// start is the start time of the tests.
var start = time.Unix(1000, 0)

// upstreams returns n upstreams, each in its own zone.
func upstreams(n int) []routes.Upstream {
	list := make([]routes.Upstream, n)
	for i := range list {
		name := string(rune('a' + i))
		list[i] = routes.Upstream{ID: name, Address: "10.0.0." + name, Zone: "zone-" + name}
	}
	return list
}

// newPool returns a pool with n upstreams.
func newPool(n int) *Pool {
	p := New(settings)
	p.SetUpstreams(upstreams(n))
	return p
}

// newPoolWithRoom returns a pool with one upstream that has room for some bytes of results.
func newPoolWithRoom(bytes int64) *Pool {
	p := newPool(1)
	small := settings
	small.RoomBytes = bytes
	p.Configure(small)
	return p
}

// task returns a task that is due after the given time.
func task(ticket Ticket, due time.Duration) *Task {
	return &Task{Ticket: ticket, Due: start.Add(due), Deadline: start.Add(10 * time.Second), Bytes: 1000}
}

// tickets returns the tickets of a call's items.
func tickets(call *Call) []Ticket {
	var list []Ticket
	for _, item := range call.Items {
		list = append(list, item.Task.Ticket)
	}
	return list
}

// sameOutcomes returns the same outcome for each item of a call.
func sameOutcomes(call *Call, outcome Outcome) []Outcome {
	list := make([]Outcome, len(call.Items))
	for i := range list {
		list[i] = outcome
	}
	return list
}

func TestBatchIsFilledByAllTasks(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, time.Second), 3)
	p.Add(task(2, time.Second), 4)
	call := p.Next(start)
	assert.DeepEqual(t, tickets(call), []Ticket{1, 1, 1, 2, 2, 2, 2})
	assert.Assert(t, p.Next(start) == nil, "the only upstream is busy")
}

func TestTaskIsNotSplitUnlessItFillsACall(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, 3*time.Second), 5)
	p.Add(task(2, 2*time.Second), 5)
	p.Add(task(3, time.Second), 3)
	call := p.Next(start)
	assert.DeepEqual(t, tickets(call), []Ticket{1, 1, 1, 1, 1, 3, 3, 3})

	large := newPool(1)
	large.Add(task(4, time.Second), 11)
	assert.Equal(t, len(large.Next(start).Items), settings.Batch)
}

func TestTimelyTasksGoBeforeLateOnesThenByRankThenNewestFirst(t *testing.T) {
	p := newPool(1)
	late := task(1, 100*time.Millisecond)
	soon := task(2, 900*time.Millisecond)
	urgent := task(3, 2*time.Second)
	soon.Rank, urgent.Rank = 1, 0
	later := task(4, time.Second)
	later.Rank = 1
	for _, queued := range []*Task{late, later, soon, urgent} {
		p.Add(queued, 1)
	}
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{3, 4, 2, 1})
}

func TestLateTasksGoInTheOrderTheyAreDue(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, 200*time.Millisecond), 1)
	p.Add(task(2, 100*time.Millisecond), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 1})
}

// TestLateTasksWithTooManyAheadAreRefusedAtOnce checks that a late task does not wait until
// its request times out if the tasks ahead of it leave too little time.
func TestLateTasksWithTooManyAheadAreRefusedAtOnce(t *testing.T) {
	p := newPool(1)
	for ticket := Ticket(1); ticket <= 30; ticket++ {
		late := task(ticket, 0)
		late.Deadline = start.Add(4 * time.Second)
		p.Add(late, settings.Batch)
	}
	refused := map[Ticket]bool{}
	for _, item := range p.Expire(start) {
		refused[item.Task.Ticket] = true
	}
	assert.Assert(t, !refused[1] && !refused[2], "two calls of 360 ms fit four times into 4 s")
	assert.Assert(t, refused[4] && refused[30], "four calls don't")

	timely := newPool(1)
	for ticket := Ticket(1); ticket <= 30; ticket++ {
		timely.Add(task(ticket, 5*time.Second), settings.Batch)
	}
	assert.Equal(t, len(timely.Expire(start)), 0, "tasks that can be in time stay")
}

func TestTasksThatCannotEndBeforeTheirDeadlineAreNotSent(t *testing.T) {
	p := newPool(1)
	short := task(1, 10*time.Millisecond)
	short.Deadline = start.Add(100 * time.Millisecond)
	p.Add(short, 1)
	assert.Assert(t, p.Next(start) == nil, "a call takes 220 ms")
	assert.Equal(t, len(p.Expire(start)), 1)
}

func TestTheWaitOfTimelyTasksLeavesOutLateAndLowerOnes(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, 10*time.Second), 1)
	running := p.Next(start)
	assert.Equal(t, len(running.Items), 1)
	for ticket := Ticket(2); ticket < 10; ticket++ {
		late := task(ticket, -time.Second)
		late.Deadline = start.Add(time.Minute)
		p.Add(late, settings.Batch)
		lower := task(100+ticket, 10*time.Second)
		lower.Rank = 2
		p.Add(lower, settings.Batch)
	}
	p.Add(task(20, 10*time.Second), settings.Batch)
	p.Expire(start)
	assert.Equal(t, p.Wait(0, 0), 2*p.callTime(settings.Batch))
	assert.Equal(t, p.Wait(2, 0), 10*p.callTime(settings.Batch))
	assert.Assert(t, p.Backlog() > p.Wait(2, 0))
}

func TestCallsStayWithinTheRoomForResults(t *testing.T) {
	p := newPoolWithRoom(10_000)
	first := task(1, time.Second)
	first.Bytes = 3000
	p.Add(first, 4)
	call := p.Next(start)
	assert.Equal(t, len(call.Items), 3, "10,000 bytes hold three results")

	p.Finish(call, sameOutcomes(call, Done), start)
	p.Succeed(call, start)
	assert.Assert(t, p.Next(start) == nil, "the results are still stored")
	p.Free(call.Upstream, 3000)
	assert.Equal(t, len(p.Next(start).Items), 1)
}

func TestLackOfRoomIsNoAttemptAndReservesRoomForAWhile(t *testing.T) {
	p := newPoolWithRoom(10_000)
	large := task(1, 5*time.Second)
	large.Bytes = 6000
	p.Add(large, 1)
	now := start
	for range maxAttempts + 2 {
		call := p.Next(now)
		assert.Assert(t, call != nil)
		assert.Equal(t, len(p.Finish(call, sameOutcomes(call, NoRoom), now)), 0)
		assert.Assert(t, p.Next(now) == nil, "there is no room yet")
		now = now.Add(unaccountedTTL)
	}
}

// TestACallThatIsNotSentCountsAgainstNobody: its items keep all their attempts, and its upstream its room
// and its place among the others.
func TestACallThatIsNotSentCountsAgainstNobody(t *testing.T) {
	p := newPoolWithRoom(1000)
	p.Add(task(1, time.Second), 1)
	leaving := upstreams(1)
	leaving[0].Leaving = true
	for range maxAttempts + 1 {
		call := p.Next(start)
		assert.Assert(t, call != nil, "the upstream takes work again")
		p.SetUpstreams(leaving)
		assert.Equal(t, len(p.Finish(call, sameOutcomes(call, NotSent), start)), 0)
		assert.Equal(t, p.Waiting(), 1)
		assert.Assert(t, p.Next(start) == nil)
		p.SetUpstreams(upstreams(1))
	}
	assert.Assert(t, p.RespondsPromptly("a"))
	call := p.Next(start)
	assert.Equal(t, call.Items[0].attempts, 1)
}

func TestFailedUpstreamIsAvoidedWhileOthersAreBusy(t *testing.T) {
	p := newPool(2)
	p.Add(task(1, time.Second), 8)
	p.Add(task(2, time.Second), 8)
	first, second := p.Next(start), p.Next(start)
	assert.Assert(t, first != nil && second != nil)

	failed := p.Finish(first, sameOutcomes(first, Retryable), start)
	p.Fail(first, start)
	assert.Equal(t, len(failed), 0)
	assert.Assert(t, p.Next(start.Add(minAvoidTime)) == nil, "the other upstream is only busy")

	p.Finish(second, sameOutcomes(second, Done), start)
	p.Succeed(second, start)
	again := p.Next(start)
	assert.Equal(t, again.Upstream.ID, second.Upstream.ID)
}

func TestUpstreamsThatAllFailedAreRetriedAfterADelay(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, time.Second), 1)
	call := p.Next(start)
	p.Finish(call, sameOutcomes(call, Retryable), start)
	p.Fail(call, start)
	assert.Assert(t, p.Next(start.Add(minAvoidTime-1)) == nil)
	assert.Assert(t, p.Next(start.Add(minAvoidTime)) != nil)
}

func TestAttemptsOfAnItemAreBounded(t *testing.T) {
	p := newPool(1)
	p.Add(task(1, time.Second), 1)
	now := start
	for attempt := 1; ; attempt++ {
		call := p.Next(now)
		failed := p.Finish(call, sameOutcomes(call, Retryable), now)
		p.Fail(call, now)
		if len(failed) > 0 {
			assert.Equal(t, attempt, maxAttempts)
			return
		}
		now = now.Add(minAvoidTime)
	}
}

func TestItemsWaitForTheZoneOfTheirDataWhileTheyAreInTime(t *testing.T) {
	p := newPool(2)
	p.Add(task(9, 5*time.Second), 8)
	busy := p.Next(start)
	assert.Equal(t, busy.Upstream.ID, "a")

	near := task(1, 5*time.Second)
	near.Transfers = []Transfer{{Zone: "zone-a", Bytes: 1 << 20}}
	p.Add(near, 1)
	assert.Assert(t, p.Next(start) == nil, "b is free, but a will still finish in time")

	hurried := task(2, 400*time.Millisecond)
	hurried.Transfers = near.Transfers
	p.Add(hurried, 1)
	call := p.Next(start)
	assert.Equal(t, call.Upstream.ID, "b")
	assert.DeepEqual(t, tickets(call), []Ticket{2})
}

func TestLeavingUpstreamsGetNoCalls(t *testing.T) {
	p := newPool(1)
	list := upstreams(1)
	list[0].Leaving = true
	p.SetUpstreams(list)
	p.Add(task(1, time.Second), 1)
	assert.Assert(t, p.Next(start) == nil)
}

func TestItemsWhoseRequestEndsAreDropped(t *testing.T) {
	p := newPool(0)
	ends := task(1, time.Second)
	ends.Deadline = start.Add(settings.CallTime + settings.ItemTime)
	p.Add(ends, 2)
	p.Add(task(2, time.Second), 1)
	assert.Equal(t, len(p.Expire(start)), 0)
	assert.Equal(t, len(p.Expire(start.Add(1))), 2)
	assert.Equal(t, p.Waiting(), 1)
}

// TestNewIncarnationHasNoStateOfTheLastOne checks that a restarted upstream has all of its
// room, and that the end of a call to its last incarnation does not change its state.
func TestNewIncarnationHasNoStateOfTheLastOne(t *testing.T) {
	p := newPoolWithRoom(8000)
	first := task(1, time.Second)
	first.Bytes = 1000
	p.Add(first, 8)
	call := p.Next(start)
	assert.Equal(t, len(call.Items), 8)

	list := upstreams(1)
	list[0].Incarnation = 5
	p.SetUpstreams(list)
	second := task(2, time.Second)
	second.Bytes = 1000
	p.Add(second, 8)
	again := p.Next(start)
	assert.Assert(t, again != nil, "the new incarnation is idle")
	assert.Equal(t, len(again.Items), 8, "all of its room is free")

	p.Finish(call, sameOutcomes(call, Retryable), start)
	p.Fail(call, start)
	p.Free(call.Upstream, 8000)
	assert.Equal(t, p.upstreams["a"].calls, 1, "the call to the new incarnation is still in flight")
	assert.Equal(t, p.upstreams["a"].usedBytes, int64(8000))
	assert.Assert(t, !start.Before(p.upstreams["a"].avoidUntil), "the failure was that of the last incarnation")
}
