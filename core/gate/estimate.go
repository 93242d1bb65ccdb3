package gate

import (
	"container/heap"
	"time"
)

// latency is the expected time to the first chunk of an output and between
// its chunks.
type latency struct {
	firstChunk time.Duration
	chunkGap   time.Duration
}

// estimateLatency returns the present estimate. It is zero until something is
// measured: an upstream without measurements is assumed to be fast until its first
// responses are in.
//
// An engine decodes its batch in steps, and in each step every attempt of the batch gets
// a chunk. All gaps of one step are therefore worth only one sample, and the median of
// the gaps covers as many steps as the other medians cover samples.
func (g *Gate) estimateLatency(now time.Duration) latency {
	gaps := min(windowSamples, medianSamples*max(1, len(g.running)))
	return latency{
		firstChunk: g.firstChunkTimes.p50(now, g.pendingFirstChunks(now)),
		chunkGap:   g.chunkGaps.quantile(now, gaps, median, g.pendingChunkGaps(now)),
	}
}

// serviceTime returns the expected time of an attempt of the given cost from its
// start to its end: the time to the first chunk, and a gap for each further unit of
// cost.
func (l latency) serviceTime(cost float64) time.Duration {
	return l.firstChunk + time.Duration(max(0, cost-1)*float64(l.chunkGap))
}

// remainingTime returns the expected time until a running attempt ends. An overdue
// attempt is expected to take as long again as it is overdue: the more overdue it is,
// the less reliable the estimate.
func (l latency) remainingTime(now time.Duration, r *record) time.Duration {
	remaining := l.serviceTime(r.cost) - (now - r.startedAt)
	return max(remaining, -remaining)
}

// pendingFirstChunks returns how long each running attempt without output has run.
func (g *Gate) pendingFirstChunks(now time.Duration) []time.Duration {
	var pending []time.Duration
	for _, r := range g.running {
		if r.chunks == 0 {
			pending = append(pending, now-r.startedAt)
		}
	}
	return pending
}

// pendingChunkGaps returns the time since the last chunk of each running attempt with
// some output.
func (g *Gate) pendingChunkGaps(now time.Duration) []time.Duration {
	var pending []time.Duration
	for _, r := range g.running {
		if r.chunks > 0 {
			pending = append(pending, now-r.lastProgressAt)
		}
	}
	return pending
}

// pendingServiceTimes returns how long each running attempt has run.
func (g *Gate) pendingServiceTimes(now time.Duration) []time.Duration {
	pending := make([]time.Duration, 0, len(g.running))
	for _, r := range g.running {
		pending = append(pending, now-r.startedAt)
	}
	return pending
}

// expectedWait returns the expected time in the queue of a new attempt. It simulates
// the queue: each attempt ahead takes the slot at the upstream that is free first.
func (g *Gate) expectedWait(now time.Duration, workspace string, priority int) time.Duration {
	capacity := max(1, g.upstream.capacity)
	if len(g.running) < capacity && g.queue.size == 0 {
		return 0
	}
	estimate := g.estimateLatency(now)
	slots := g.slotFreeTimes(now, estimate, capacity)
	for _, cost := range g.queue.costsAhead(workspace, priority) {
		slots[0] += estimate.serviceTime(cost)
		heap.Fix(&slots, 0)
	}
	return slots[0]
}

// slotFreeTimes returns the time until each slot at the upstream is expected to be
// free, as a heap.
func (g *Gate) slotFreeTimes(now time.Duration, estimate latency, capacity int) durationHeap {
	slots := make(durationHeap, 0, capacity)
	for _, r := range g.running {
		slots = append(slots, estimate.remainingTime(now, r))
	}
	for len(slots) < capacity {
		slots = append(slots, 0)
	}
	heap.Init(&slots)
	return slots
}

// nextSlotFree returns the time until the first slot at the upstream is expected to
// be free, and with it room in the queue.
func (g *Gate) nextSlotFree(now time.Duration) time.Duration {
	slots := g.slotFreeTimes(now, g.estimateLatency(now), max(1, g.upstream.capacity))
	return slots[0]
}

// durationHeap is a min-heap of durations.
type durationHeap []time.Duration

// Len implements heap.Interface.
func (h durationHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap implements heap.Interface.
func (h durationHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *durationHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *durationHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
