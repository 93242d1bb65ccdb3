package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/forecast"
)

// newLatePool returns a pool of one upstream, which is busy, and whose demand in the last half minute was a
// share of its full rate of 22 items a second.
func newLatePool(t *testing.T, demand float64) *Pool {
	t.Helper()
	p := newPool(1)
	f := forecast.New()
	f.Observe(start.Add(-time.Minute))
	f.Arrived(int(demand*p.fullRate()*30), start.Add(-15*time.Second))
	p.KeepLate(f)
	p.Add(task(1, time.Hour), settings.Batch)
	assert.Equal(t, len(p.Next(start).Items), settings.Batch)
	return p
}

// lateTask returns a task that is late and has the given time left.
func lateTask(ticket Ticket, left time.Duration) *Task {
	created := task(ticket, 0)
	created.Deadline = start.Add(left)
	return created
}

// refusedTickets returns the tickets of the tasks that a pool drops.
func refusedTickets(p *Pool, now time.Time) map[Ticket]bool {
	refused := make(map[Ticket]bool)
	for _, item := range p.Expire(now) {
		refused[item.Task.Ticket] = true
	}
	return refused
}

// TestLateTasksAreKeptForTheCapacityThatWillBeFree guards against dropping late work in a burst that the pool can do
// before its deadline, and against keeping what it can't do.
func TestLateTasksAreKeptForTheCapacityThatWillBeFree(t *testing.T) {
	p := newLatePool(t, 0.6)
	for ticket := Ticket(2); ticket <= 7; ticket++ {
		p.Add(lateTask(ticket, 4*time.Second), settings.Batch)
	}
	refused := refusedTickets(p, start)
	assert.Assert(t, !refused[2] && !refused[3] && !refused[4] && !refused[5], "8.9 items a second are free for 3.6 s: %v", refused)
	assert.Assert(t, refused[6] && refused[7], "%v", refused)
	free, known := p.FreeRate(start)
	assert.Assert(t, known && free > 8 && free < 10, "%.1f", free)
}

// TestLateTasksGoByTheirDeadlines guards against a late task that expires behind others that can wait.
func TestLateTasksGoByTheirDeadlines(t *testing.T) {
	p := newLatePool(t, 0)
	urgent := lateTask(3, 2*time.Second)
	urgent.Rank = 1
	p.Add(lateTask(2, 3*time.Second), 1)
	p.Add(urgent, 1)
	p.Add(task(4, time.Hour), 1)
	p.SetUpstreams(upstreams(2))
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{4, 3, 2})
}

// TestNewOwnerKeepsLateTasksByTheirWait guards against an owner without history that keeps all late tasks or none.
func TestNewOwnerKeepsLateTasksByTheirWait(t *testing.T) {
	p := newPool(1)
	p.KeepLate(forecast.New())
	for ticket := Ticket(1); ticket <= 4; ticket++ {
		p.Add(lateTask(ticket, 4*time.Second), settings.Batch)
	}
	refused := refusedTickets(p, start)
	assert.Assert(t, !refused[1] && !refused[2] && refused[4], "as without a forecast: %v", refused)
	_, known := p.FreeRate(start)
	assert.Assert(t, !known)

	limited := newLatePool(t, 0)
	limited.SetLimits(map[string]float64{"a": 2})
	_, known = limited.FreeRate(start)
	assert.Assert(t, !known, "a limit withholds the capacity")
}

// TestLateTaskWaitsWhileALaterPoolIsFull guards against results of late tasks that occupy room while they wait for a full
// pool, against tasks in time that wait too, and against a task that waits for an estimate from a sender that is gone.
func TestLateTaskWaitsWhileALaterPoolIsFull(t *testing.T) {
	p := newLatePool(t, 0)
	p.SetUpstreams(upstreams(2))
	late := lateTask(2, 5*time.Second)
	late.Later = []string{"rank"}
	timely := task(3, time.Minute)
	timely.Later = late.Later
	p.Add(late, 1)
	p.Add(timely, 1)
	const full = 400 * time.Millisecond
	p.ObserveLater("rank", 900*time.Millisecond, full, start)
	p.ObserveLater("rank", full, full, start.Add(-time.Millisecond)) // older: does not count
	assert.DeepEqual(t, tickets(p.Next(start)), []Ticket{3})
	p.SetUpstreams(upstreams(3))
	assert.Assert(t, p.Next(start) == nil)
	assert.Equal(t, p.Backlog(), p.waitBehind(0), "held tasks would hold those of a pool that follows in another chain")
	p.ObserveLater("rank", full, full, start.Add(10*time.Millisecond))
	assert.DeepEqual(t, tickets(p.Next(start.Add(10*time.Millisecond))), []Ticket{2})

	p.Add(late, 1)
	p.ObserveLater("rank", time.Minute, full, start.Add(20*time.Millisecond))
	p.SetUpstreams(upstreams(4))
	assert.Assert(t, p.Next(start.Add(time.Second)) == nil)
	assert.DeepEqual(t, tickets(p.Next(start.Add(1100*time.Millisecond))), []Ticket{2})
}

// TestCallsOfLateTasksLeaveUpstreamsFree guards against late work that occupies all upstreams at once after a
// burst, so that tasks in time wait for a full call.
func TestCallsOfLateTasksLeaveUpstreamsFree(t *testing.T) {
	p := newLatePool(t, 0)
	p.SetUpstreams(upstreams(4))
	for ticket := Ticket(2); ticket <= 5; ticket++ {
		p.Add(lateTask(ticket, 9*time.Second), settings.Batch)
	}
	assert.Assert(t, p.Next(start) != nil)
	assert.Assert(t, p.Next(start) == nil, "a quarter of a call must pass first")
	p.Add(task(9, time.Hour), 1)
	assert.Equal(t, tickets(p.Next(start))[0], Ticket(9))
	assert.Assert(t, p.Next(start.Add(90*time.Millisecond)) != nil)
}

// TestDecisionsAboutLateTasksAreReportedOnce guards against a log that grows with the time for which tasks wait.
func TestDecisionsAboutLateTasksAreReportedOnce(t *testing.T) {
	p := newLatePool(t, 0)
	p.Add(lateTask(2, 3*time.Second), 2)
	p.Add(lateTask(3, 300*time.Millisecond), 2)
	p.Expire(start)
	p.Expire(start.Add(20 * time.Millisecond))
	p.SetUpstreams(upstreams(2))
	p.Next(start.Add(40 * time.Millisecond))
	var kinds []LateKind
	for _, decision := range p.TakeLateDecisions() {
		kinds = append(kinds, decision.Kind)
		if decision.Kind == LateStarted {
			assert.Equal(t, decision.Ticket, Ticket(2))
			assert.Equal(t, decision.Kept, 40*time.Millisecond)
		}
	}
	assert.DeepEqual(t, kinds, []LateKind{LateRefused, LateKept, LateStarted})
	assert.Equal(t, len(p.TakeLateDecisions()), 0)
}

// TestForecastSaysWhenATaskWouldBeServed guards against clients that return while the pool still has late work
// ahead of theirs.
func TestForecastSaysWhenATaskWouldBeServed(t *testing.T) {
	p := newLatePool(t, 0.5)
	p.Add(lateTask(2, 4*time.Second), settings.Batch)
	p.Expire(start)
	found := p.ForecastLate(lateTask(3, 5*time.Second), settings.Batch, start)
	assert.Assert(t, found.Known && found.Kept)
	assert.Assert(t, found.After > 1300*time.Millisecond && found.After < 1600*time.Millisecond, "16 items at 11 a second: %v", found.After)
	found = p.ForecastLate(lateTask(3, 700*time.Millisecond), settings.Batch, start)
	assert.Assert(t, !found.Kept && found.After == 0)
}

// TestLateWorkLeavesStandardRatesAndBurstsInTime guards against late work that costs tasks in time their
// objective, on the pools and at the rates that are replayed without it.
func TestLateWorkLeavesStandardRatesAndBurstsInTime(t *testing.T) {
	inTime := func(load deploymentPool, rate float64, limit time.Duration, late bool) float64 {
		p := New(load.pool)
		if late {
			f := forecast.New()
			f.Observe(start.Add(-time.Minute))
			p.KeepLate(f)
		}
		share, _ := replayOn(p, load, rate, limit)
		return share
	}
	for _, load := range standardRates {
		standard := inTime(load, 1, 900*time.Millisecond, true)
		assert.Assert(t, standard > 0.97, "%s: %.3f in time", load.name, standard)
		off, on := inTime(load, 3.5, 1100*time.Millisecond, false), inTime(load, 3.5, 1100*time.Millisecond, true)
		t.Logf("%s: %.3f of a burst in time, %.3f without late work", load.name, on, off)
		assert.Assert(t, on > off-0.01, "%s: %.3f of a burst in time, %.3f without late work", load.name, on, off)
	}
}
