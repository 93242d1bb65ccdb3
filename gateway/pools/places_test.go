package pools

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
	"acaciawinch/platform/stagecall"
)

// refusedTask returns a first stage that its sender gives too little time, as it expects long waits at the
// later pools, though its request ends much later.
func refusedTask(id string) Task {
	identity := fingerprint.Of(fingerprint.Request{Target: "/" + id})
	t := task(id)
	t.Fingerprint, t.Workspace = identity[:], "w"
	t.Remaining, t.Due, t.Ends = time.Millisecond, -time.Second, 10*time.Second
	return t
}

// newOwnerWithPlaces returns an owner that keeps places, and the state of its part.
func newOwnerWithPlaces(t *testing.T) (*Owner, *ownedPart) {
	t.Helper()
	o, _ := newOwner(t, succeed)
	o.KeepPlaces(tally.NoopScope)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o, o.pool(Part{Service: "enc", Count: 1})
}

// TestAClientThatWasToldToReturnIsServed guards against a client that is told when to return and is then
// refused for the same work ahead of it again. One that was not told is.
func TestAClientThatWasToldToReturnIsServed(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-release
		return succeed(items)
	}, succeed)
	o.KeepPlaces(tally.NoopScope)
	s := o.Session(true)
	inTime := task("in-time")
	inTime.Items = 800 // they take 2.8 s, and late tasks need four times as much
	submit(s, 1, inTime, nil)
	<-sent
	told, other := refusedTask("a"), refusedTask("b")
	told.Remaining, other.Remaining = 8*time.Second, 8*time.Second
	assert.Equal(t, (<-submit(s, 2, told, nil)).Failure, Late)
	assert.Equal(t, (<-submit(s, 3, other, nil)).Failure, Late)
	key, _ := placeKey(told)
	o.mu.Lock()
	o.pool(told.Part).places.Reserve(key, 1, time.Now().Add(3*time.Second))
	o.mu.Unlock()
	returned := submit(s, 4, told, nil)
	assert.Equal(t, (<-submit(s, 5, other, nil)).Failure, Late, "it was not told when to return")
	o.mu.Lock()
	assert.Equal(t, o.pool(told.Part).places.Len(), 0, "a place is used once")
	o.mu.Unlock()
	s.Cancel(1)
	close(release)
	assert.DeepEqual(t, (<-returned).Handles, []string{"h/a"})
}

// TestItemsAreReservedUntilTheClientReturns guards against late tasks that take the room for which a client
// was told to return, and against room held for longer than clients wait.
func TestItemsAreReservedUntilTheClientReturns(t *testing.T) {
	o, p := newOwnerWithPlaces(t)
	now := time.Now()
	open := &openTask{Task: refusedTask("a"), endsAt: now.Add(6 * time.Second)}
	open.Items = 6
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keepPlace(p, open, Result{Failure: Late, RetryAfter: 5 * time.Second}, now)
	assert.Equal(t, p.places.Reserved(now.Add(1900*time.Millisecond)), 6)
	assert.Equal(t, p.places.Reserved(now.Add(3*time.Second)), 0, "clients return after a third of their time")
}

// TestOnlyRefusedFirstStagesHavePlaces guards against places for clients that were not refused, and against
// any place if they are off.
func TestOnlyRefusedFirstStagesHavePlaces(t *testing.T) {
	o, p := newOwnerWithPlaces(t)
	laterStage, ended, unknown := refusedTask("a"), refusedTask("b"), refusedTask("c")
	laterStage.Inputs, ended.Ends, unknown.Fingerprint = []string{"x/1"}, 0, nil
	s := o.Session(true)
	for i, refused := range []Task{laterStage, ended, unknown} {
		assert.Equal(t, (<-submit(s, uint64(i), refused, nil)).Failure, Late)
	}
	o.mu.Lock()
	assert.Equal(t, p.places.Len(), 0)
	o.mu.Unlock()

	off, _ := newOwner(t, succeed)
	assert.Equal(t, (<-submit(off.Session(true), 1, refusedTask("a"), nil)).Failure, Late)
	off.mu.Lock()
	defer off.mu.Unlock()
	assert.Assert(t, off.pool(Part{Service: "enc", Count: 1}).places == nil)
}

// TestFreshWaitIsThatOfTheIdlestPart guards against a refusal at admission for an old estimate or one of
// a part that the request may not be sent to.
func TestFreshWaitIsThatOfTheIdlestPart(t *testing.T) {
	const maxAge = 500 * time.Millisecond
	w, now, class := newWaits(), time.Unix(1000, 0), Class{Rank: 1}
	part := func(index int) Part { return Part{Service: "enc", Index: index, Count: 2} }
	w.record(part(0), class, Result{Wait: 3 * time.Second}, now)
	assert.Equal(t, w.fresh("enc", 2, class, now, maxAge), time.Duration(0), "the other part is unknown")
	w.record(part(1), class, Result{Wait: 2 * time.Second}, now.Add(100*time.Millisecond))
	assert.Equal(t, w.fresh("enc", 2, class, now.Add(maxAge), maxAge), 1600*time.Millisecond)
	assert.Equal(t, w.fresh("enc", 2, class, now.Add(maxAge+1), maxAge), time.Duration(0), "the first estimate is too old")
}
