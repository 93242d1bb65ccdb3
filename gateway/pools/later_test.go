package pools

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTaskKeepsItsFieldsOnTheWire guards against an owner in another process that schedules a
// task without its estimates or identity.
func TestTaskKeepsItsFieldsOnTheWire(t *testing.T) {
	sent := Task{Part: Part{Service: "enc", Count: 1}, Fingerprint: []byte{1, 2}, Workspace: "w", Ends: 5 * time.Second,
		Later: []LaterWait{{Service: "rank", Wait: 700 * time.Millisecond, Age: 30 * time.Millisecond, Shortest: 210 * time.Millisecond}}}
	received := taskOf(taskMessage(1, sent))
	assert.DeepEqual(t, received.Later, sent.Later)
	assert.DeepEqual(t, received.Fingerprint, sent.Fingerprint)
	assert.Equal(t, received.Workspace, sent.Workspace)
	assert.Equal(t, received.Ends, sent.Ends)
}

// TestResultKeepsItsForecastOnTheWire guards against gateways that never learn that an owner
// refuses late tasks.
func TestResultKeepsItsForecastOnTheWire(t *testing.T) {
	received := resultOf(resultMessage(1, Result{Failure: Late, RetryAfter: 1200 * time.Millisecond, LateRefused: true}))
	assert.Equal(t, received.RetryAfter, 1200*time.Millisecond)
	assert.Assert(t, received.LateRefused)
}

// TestLongestEstimateOfAServiceIsSent guards against a late task that starts because the newest
// estimate is that of an urgent class, which hardly waits at a full pool.
func TestLongestEstimateOfAServiceIsSent(t *testing.T) {
	w, now := newWaits(), time.Unix(1000, 0)
	part := Part{Service: "rank", Count: 1}
	w.record(part, Class{Rank: 1}, Result{Wait: 900 * time.Millisecond}, now)
	w.record(part, Class{}, Result{Wait: 300 * time.Millisecond}, now.Add(100*time.Millisecond))
	e, known := w.estimateOf("rank", now.Add(200*time.Millisecond))
	assert.Assert(t, known)
	assert.Equal(t, e.wait, 900*time.Millisecond)
	_, known = w.estimateOf("other", now)
	assert.Assert(t, !known)
}
