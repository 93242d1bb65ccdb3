package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/forecast"
	"acaciawinch/core/routes"
)

// playTasksOfSix queues tasks of 6 items, makes calls of at most 40 one after the other on two upstreams with room for
// 2.17 full calls, whose results are read after a time, and returns the number of items of each call.
func playTasksOfSix(f *forecast.Forecast, tasks, calls int, read time.Duration) (items []int) {
	const bytes = 60_000
	p := New(routes.Pool{Slots: 1, Batch: 40, CallTime: 200 * time.Millisecond, ItemTime: 4300 * time.Microsecond, RoomBytes: 2.17 * 40 * bytes})
	p.SetUpstreams(upstreams(2))
	p.KeepLate(f)
	for ticket := range Ticket(tasks) {
		p.Add(&Task{Ticket: ticket, Due: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour), Bytes: bytes}, 6)
	}
	run := &chainRun{now: start}
	var dispatch func()
	dispatch = func() {
		for call := p.Next(run.now); call != nil && len(items) < calls; call = p.Next(run.now) {
			items = append(items, len(call.Items))
			run.schedule(run.now.Add(p.callTime(len(call.Items))), func() {
				p.Finish(call, sameOutcomes(call, Done), run.now)
				p.Succeed(call, run.now)
				run.schedule(run.now.Add(read), func() { p.Free(call.Upstream, call.bytes); dispatch() })
				dispatch()
			})
		}
	}
	dispatch()
	run.drain()
	return items
}

// TestSaturatedPoolFillsItsCallsUnlessRoomIsTheLimit guards against calls of 36 of 40 items in a burst because tasks of
// 6 items are not split, and against split tasks whose first results take the room that limits calls.
func TestSaturatedPoolFillsItsCallsUnlessRoomIsTheLimit(t *testing.T) {
	f := forecast.New()
	f.Observe(start.Add(-time.Minute))
	for _, count := range playTasksOfSix(f, 400, 40, 150*time.Millisecond)[20:] {
		assert.Equal(t, count, 40)
	}
	const long = 700 * time.Millisecond
	assert.DeepEqual(t, playTasksOfSix(f, 400, 60, long), playTasksOfSix(nil, 400, 60, long))
	assert.DeepEqual(t, playTasksOfSix(f, 13, 2, long), []int{36, 36})
}

// TestRestOfASplitTaskGoesFirst guards against results that occupy room while their task waits in the queue.
func TestRestOfASplitTaskGoesFirst(t *testing.T) {
	p := newLatePool(t, 0)
	p.SetUpstreams(upstreams(3))
	p.roomBound = 0
	for ticket := Ticket(2); ticket <= 9; ticket++ {
		p.Add(task(ticket, 3*time.Second-time.Duration(ticket)*10*time.Millisecond), 5)
	}
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{2, 2, 2, 2, 2, 3, 3, 3})
	p.Add(task(10, 4*time.Second), 1)
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{3, 3, 10, 4, 4, 4, 4, 4})
}
