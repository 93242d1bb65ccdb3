package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestANewOwnerLeavesRoomForTheResultsOfTheLast replays the loss of an owner while 20 results are stored at
// each of 18 upstreams. A new owner that knows nothing of them closes full calls, of which each upstream
// refuses what does not fit; one that has been told of them, by gateways or by the upstreams, closes smaller
// ones. A result that both tell of counts once.
func TestANewOwnerLeavesRoomForTheResultsOfTheLast(t *testing.T) {
	const count, stored, result, fitting = 18, 20, 1_500_000, 8
	large := stageSettings(14, 12, 0)
	large.RoomBytes = (stored + fitting) * result
	tell := func(p *Pool, results int) {
		for _, upstream := range upstreams(count) {
			p.Store(upstream, int64(results)*result)
		}
	}
	report := func(p *Pool) {
		for _, upstream := range upstreams(count) {
			p.ReportRoom(upstream, fitting*result, start.Add(4*time.Second))
		}
	}
	for name, c := range map[string]struct {
		learn   func(*Pool)
		refused int
	}{
		"unknown":                       {func(*Pool) {}, (14 - fitting) * count},
		"held":                          {func(p *Pool) { tell(p, stored) }, 0},
		"reported":                      {report, 0},
		"held in part, then reported":   {func(p *Pool) { tell(p, 12); report(p) }, 0},
		"reported, then held in part":   {func(p *Pool) { report(p); tell(p, 12) }, 0},
		"reported, and then held whole": {func(p *Pool) { report(p); tell(p, stored) }, 0},
	} {
		p := New(large)
		p.SetUpstreams(upstreams(count))
		c.learn(p)
		for ticket := range Ticket(count * 7) {
			task := task(ticket+1, 2*time.Second)
			task.Bytes = result
			p.Add(task, 2)
		}
		calls, refused := 0, 0
		for call := p.Next(start); call != nil; call = p.Next(start) {
			calls++
			refused += max(0, len(call.Items)-fitting)
			assert.Assert(t, len(call.Items) >= fitting, "%s: a call leaves room unused", name)
		}
		assert.Equal(t, calls, count, name)
		assert.Equal(t, refused, c.refused, name)
	}
}

// TestReportedRoomEndsWithTheResults: results that no gateway knows of are dropped by their upstreams after
// the keep time, a later report replaces an earlier one, and a new incarnation stores nothing.
func TestReportedRoomEndsWithTheResults(t *testing.T) {
	p := newPoolWithRoom(8000)
	upstream := upstreams(1)[0]
	room := func(at time.Time) int64 { return p.availableBytes(p.upstreams[upstream.ID], at) }
	_, unaccounted, found := p.ReportRoom(upstream, 3000, start.Add(4*time.Second))
	assert.Assert(t, found)
	assert.Equal(t, unaccounted, int64(5000))
	assert.Equal(t, room(start), int64(3000))
	assert.Equal(t, room(start.Add(4*time.Second)), int64(8000))
	p.ReportRoom(upstream, 9000, start.Add(4*time.Second))
	assert.Equal(t, room(start), int64(8000), "more room than configured is not used")
	p.Store(upstream, 2000)
	p.Free(upstream, 2000)
	assert.Equal(t, room(start), int64(8000))
	next := upstream
	next.Incarnation++
	_, _, found = p.ReportRoom(next, 1000, start.Add(4*time.Second))
	assert.Assert(t, !found, "the report of another incarnation")
}

// TestWorkWaitsForAReport: the first calls of a new owner would otherwise be closed before the report that
// they depend on. Work waits no longer than until the report is due.
func TestWorkWaitsForAReport(t *testing.T) {
	p := newPool(2)
	list := upstreams(2)
	due := start.Add(100 * time.Millisecond)
	p.AwaitReport(list[0], due)
	p.AwaitReport(list[1], due)
	p.Add(task(1, 2*time.Second), 2)
	assert.Assert(t, p.Next(start) == nil)
	p.ReportRoom(list[1], 1<<30, start.Add(4*time.Second))
	assert.Assert(t, p.Next(start) == nil, "the preferred upstream has not reported")
	assert.Equal(t, p.Next(due).Upstream.ID, list[0].ID)
	p.ReportRoom(list[0], 1<<30, start.Add(4*time.Second))
	p.Add(task(2, 2*time.Second), 2)
	assert.Equal(t, p.Next(start).Upstream.ID, list[1].ID)
}
