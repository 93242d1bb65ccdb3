package pools

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFieldsOfLateWorkStayOnTheWire guards against an owner in another process that schedules a task without its
// estimates or identity, and against gateways that never learn that it refuses late tasks.
func TestFieldsOfLateWorkStayOnTheWire(t *testing.T) {
	sent := Task{Part: Part{Service: "enc", Count: 1}, Fingerprint: []byte{1, 2}, Workspace: "w", Ends: 5 * time.Second,
		Later: []LaterWait{{Service: "rank", Wait: 700 * time.Millisecond, Age: 30 * time.Millisecond, Shortest: 210 * time.Millisecond}}}
	received := taskOf(taskMessage(1, sent))
	assert.DeepEqual(t, received.Later, sent.Later)
	assert.DeepEqual(t, received.Fingerprint, sent.Fingerprint)
	assert.Equal(t, received.Workspace, sent.Workspace)
	assert.Equal(t, received.Ends, sent.Ends)
	result := resultOf(resultMessage(1, Result{Failure: Late, RetryAfter: 1200 * time.Millisecond, LateRefused: true}))
	assert.Assert(t, result.RetryAfter == 1200*time.Millisecond && result.LateRefused)
}

// TestNewestEstimateOfAServiceIsSent guards against a late task that is held by the estimate of a part
// that has become idle since.
func TestNewestEstimateOfAServiceIsSent(t *testing.T) {
	w, now := newWaits(), time.Unix(1000, 0)
	w.record(Part{Service: "rank", Count: 2}, Class{}, Result{Backlog: 900 * time.Millisecond}, now)
	w.record(Part{Service: "rank", Index: 1, Count: 2}, Class{Rank: 1}, Result{Backlog: 300 * time.Millisecond}, now.Add(100*time.Millisecond))
	assert.Equal(t, w.byService["rank"].wait, 300*time.Millisecond)
}
