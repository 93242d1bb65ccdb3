package pools

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/memory"
	"acaciawinch/wire/wirepb"
)

// heapBytes returns the memory of all reachable objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestTasksStayWithinTheMemoryOfTheOwner guards against other gateways whose tasks, of as many items as their clients choose,
// together exceed the memory of the owner of their pool.
func TestTasksStayWithinTheMemoryOfTheOwner(t *testing.T) {
	release := make(chan struct{})
	o := newOwnerOf(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer close(release)
	budget := memory.New(32 << 20)
	o.UseMemory(budget)
	session := o.Session(false)
	defer session.End()
	before := heapBytes()
	for number := uint64(0); ; number++ {
		large := task("large")
		large.Items, large.Remaining, large.Due = 1000, time.Hour, time.Hour
		select {
		case result := <-submit(session, number, large, func() {}):
			assert.Equal(t, result.Failure, NoMemory)
			assert.Assert(t, number > 20)
			used := budget.Usage().Used
			assert.Assert(t, heapBytes()-before < used, "%d bytes are used, %d reserved", heapBytes()-before, used)
			session.End()
			assert.Equal(t, budget.Usage().Used, int64(0))
			return
		default:
		}
	}
}

// TestRepliesToASlowCallerStayWithinTheMemory guards against callers that don't read: the replies to all of them are kept in
// the memory of the owner.
func TestRepliesToASlowCallerStayWithinTheMemory(t *testing.T) {
	budget := memory.New(1 << 20)
	queue := newReplyQueue(budget)
	reply := &wirepb.PoolReply{Kind: &wirepb.PoolReply_Result{Result: resultMessage(1, Result{Handles: make([]string, 1000)})}}
	added := 0
	for queue.add(reply) {
		added++
	}
	assert.Assert(t, added > 0 && added < replyQueueSize, "%d", added)
	queue.drop()
	assert.Equal(t, budget.Usage().Used, int64(0))
}
