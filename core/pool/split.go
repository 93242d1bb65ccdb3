package pool

const (
	// fillBacklog is the number of full calls of items that must wait for each upstream for tasks to be
	// split. The rest of a split task waits until the next upstream is free, which takes a full
	// call if the pool has one upstream: not longer than the items behind it wait anyway.
	fillBacklog = 1
	// maxRoomBound is the share of calls limited by room up to which tasks are split. A split task
	// uses room until its rest is done, which costs more items per call than a full call gains.
	maxRoomBound = 0.1
)

// mayFill reports whether a task may be split to fill a call: the pool is saturated, and calls have lately
// been limited by the number of items.
func (p *Pool) mayFill() bool {
	if !p.keepsLate || p.roomBound > maxRoomBound {
		return false
	}
	return float64(p.waiting-p.held) > fillBacklog*float64(p.settings.Batch)*max(1, p.capacity(p.fullCall()))
}

// updateRoomBound updates the average of roomBound after a call was closed for an upstream that had some
// room before it. Only a call that left as many items waiting as fit, at an upstream that stores
// results already, shows what limits calls.
func (p *Pool) updateRoomBound(s *upstreamState, call *Call, room int64) {
	if p.waiting-p.held < p.settings.Batch || s.usedBytes == 0 {
		return
	}
	bound := 0.0
	if mean := call.bytes / int64(len(call.Items)); mean*int64(p.settings.Batch) > room {
		bound = 1
	}
	p.roomBound += averageWeight * (bound - p.roomBound)
}
