package pools

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/forecast"
	"acaciawinch/platform/stagecall"
)

// newLateOwner returns an owner that keeps late tasks, whose worker is busy with a task until release is
// closed, and whose forecast knows an idle half minute.
func newLateOwner(t *testing.T) (o *Owner, s *Session, release chan struct{}, scope tally.TestScope) {
	t.Helper()
	release, sent := make(chan struct{}), make(chan struct{}, 8)
	o, _ = newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		sent <- struct{}{}
		<-release
		return succeed(items)
	})
	scope = tally.NewTestScope("", nil)
	o.KeepLateWork(scope)
	s = o.Session(true)
	o.mu.Lock()
	o.pool(task("").Part).late.forecast.Observe(time.Now().Add(-time.Minute))
	o.mu.Unlock()
	submit(s, 1, task("busy"), nil)
	<-sent
	return o, s, release, scope
}

// counted returns the number of decisions of a kind that were counted.
func counted(scope tally.TestScope, kind string) int64 {
	var sum int64
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "late_tasks" && counter.Tags()["decision"] == kind {
			sum += counter.Value()
		}
	}
	return sum
}

// TestOwnerKeepsAndServesALateTask guards against an owner that has a forecast and does not use it, and against a task
// with a later stage on the same pool that waits for the backlog that it is part of.
func TestOwnerKeepsAndServesALateTask(t *testing.T) {
	o, s, release, scope := newLateOwner(t)
	late := task("late")
	late.Due = -time.Second
	late.Later = []LaterWait{{Service: "enc", Wait: time.Hour}}
	served := submit(s, 2, late, nil)
	o.tick(time.Now())
	assert.Equal(t, counted(scope, "kept"), int64(1))
	close(release)
	assert.Equal(t, (<-served).Failure, Failure(""))
	assert.Equal(t, counted(scope, "started"), int64(1))
}

// TestRefusedRequestCountsAsDemandOnce guards against a forecast that sees twice the demand in a burst because
// refused clients return.
func TestRefusedRequestCountsAsDemandOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lateWork{forecast: forecast.New(), refusals: newRefusals()}
	l.forecast.SetFullRate(10)
	l.forecast.Observe(now.Add(-time.Minute))
	returning := Task{Items: 30, Fingerprint: []byte{1}, Remaining: 4 * time.Second}
	l.arrived(returning, now)
	l.refused(returning, now)
	l.arrived(returning, now.Add(time.Second))
	assert.Equal(t, l.forecast.Free(now.Add(time.Second)), 9.0)
	l.arrived(returning, now.Add(2*time.Second))
	assert.Equal(t, l.forecast.Free(now.Add(2*time.Second)), 8.0, "the same work is requested again after it was done")
	l.refused(returning, now)
	l.refusals.take(refusalKey{}, now.Add(time.Minute))
	assert.Equal(t, len(l.refusals.until), 0, "those past their deadline are forgotten")
}
