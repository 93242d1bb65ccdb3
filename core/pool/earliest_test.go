package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestABusyPoolWithAShortQueueLeavesNoTaskBehind replays 45 clients of which each sends its next request
// when the last is done. The two upstreams are busy all the time and take 0.4 s for the whole queue, and
// tasks have 1.7 s: none may become late. With the latest due first, the first tasks of a queue that never
// empties were passed by all that came after them.
func TestABusyPoolWithAShortQueueLeavesNoTaskBehind(t *testing.T) {
	load := deploymentPool{upstreams: 2, pool: stageSettings(8, 1, 1), itemsPerTask: 3, resultBytes: 6000, keep: 20 * time.Millisecond}
	load.pool.CallTime = 20 * time.Millisecond
	sim := &simulation{load: load, pool: New(load.pool), random: rand.New(rand.NewPCG(1, 2)), now: start, limit: 1700 * time.Millisecond}
	sim.done = func(Ticket) { sim.arrive() }
	sim.pool.SetUpstreams(upstreams(load.upstreams))
	const clients = 45
	for range clients {
		sim.arrive()
	}
	sim.advance(start.Add(10 * time.Second))
	sim.pool.sort(sim.now)
	late := 0
	for _, q := range sim.pool.queue {
		if q.late {
			late++
		}
	}
	t.Logf("%d of %d tasks done in time, %d late", sim.timely, sim.tasks, late)
	assert.Equal(t, late, 0)
	assert.Assert(t, sim.tasks-sim.timely <= clients)
}
