package pools

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

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

// TestOwnerKeepsAndServesALateTask guards against an owner that has a forecast and does not use it: by the
// wait at its busy worker alone, the task would be kept too, but not reported.
func TestOwnerKeepsAndServesALateTask(t *testing.T) {
	o, s, release, scope := newLateOwner(t)
	late := task("late")
	late.Due = -time.Second
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
	r := newRefusals()
	key := refusalKey{"fingerprint", 1}
	r.add(key, now.Add(time.Second))
	assert.Assert(t, r.take(key, now.Add(500*time.Millisecond)))
	assert.Assert(t, !r.take(key, now.Add(500*time.Millisecond)), "it is forgotten once it has returned")
	r.add(key, now.Add(time.Second))
	assert.Assert(t, !r.take(refusalKey{"fingerprint", 0}, now))
	assert.Assert(t, !r.take(key, now.Add(3*time.Second)))
	assert.Equal(t, len(r.until), 0, "expired ones are dropped")
}
