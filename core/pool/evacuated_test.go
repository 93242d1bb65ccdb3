package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEvacuatedPoolDropsWaitingItems checks that waiting items are dropped, as they can run
// nowhere, and that the calls in flight are finished.
func TestEvacuatedPoolDropsWaitingItems(t *testing.T) {
	p := newPool(2)
	p.Add(task(1, time.Second), 8)
	p.Add(task(2, time.Second), 3)
	running := p.Next(start)
	list := upstreams(2)
	for i := range list {
		list[i].Evacuated = true
	}
	p.SetUpstreams(list)
	assert.Assert(t, p.Evacuated())
	assert.Assert(t, p.Next(start) == nil)
	assert.Equal(t, len(p.Expire(start)), 3)
	assert.Equal(t, p.Waiting(), 0)
	assert.Equal(t, p.CallsIn(running.Upstream.Zone), 1)
	assert.Equal(t, len(p.Finish(running, sameOutcomes(running, Done), start)), 0)
	assert.Equal(t, p.CallsIn(running.Upstream.Zone), 0)
}

// TestPoolUsesOnlyZonesThatAreNotEvacuated checks that a pool uses its remaining zone during
// an evacuation, and both zones after it.
func TestPoolUsesOnlyZonesThatAreNotEvacuated(t *testing.T) {
	p := newPool(2)
	list := upstreams(2)
	list[0].Evacuated = true
	p.SetUpstreams(list)
	assert.Assert(t, !p.Evacuated())
	p.Add(task(1, time.Second), 8)
	p.Add(task(2, time.Second), 8)
	assert.Equal(t, p.Next(start).Upstream.ID, list[1].ID)
	assert.Assert(t, p.Next(start) == nil, "the upstream in the evacuated zone is not used")
	assert.Equal(t, len(p.Expire(start)), 0)
	p.SetUpstreams(upstreams(2))
	assert.Equal(t, p.Next(start).Upstream.ID, list[0].ID)
}
