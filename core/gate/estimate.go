package gate

import (
	"container/heap"
	"time"
)

// pace is how fast the upstream works.
type pace struct {
	first time.Duration
	gap   time.Duration
}

// pace returns how fast the upstream works now. It is zero while nothing is
// measured: an unknown upstream gets the benefit of the doubt, and its first
// answers end that.
//
// The members of a batch get their chunks together, so that the gaps of one step
// are as good as one sample: the median of the gaps is taken over as many steps as
// the medians of other times are over samples.
func (g *Gate) pace(now time.Duration) pace {
	gaps := min(windowSamples, medianSamples*max(1, len(g.running)))
	return pace{
		first: g.first.middle(now, g.openFirsts(now)),
		gap:   g.gap.quantile(now, gaps, median, g.openGaps(now)),
	}
}

// service returns the likely time of an attempt of the given cost from its start
// to its end: until the first chunk, and a gap for each further unit of cost.
func (p pace) service(cost float64) time.Duration {
	return p.first + time.Duration(max(0, cost-1)*float64(p.gap))
}

// residual returns how much longer a running attempt likely takes. One that is
// late by some time is guessed to need as long again: the later it is, the less
// the estimate is worth.
func (p pace) residual(now time.Duration, r *record) time.Duration {
	left := p.service(r.cost) - (now - r.startedAt)
	return max(left, -left)
}

// openFirsts returns how long the running attempts without output have taken.
func (g *Gate) openFirsts(now time.Duration) []time.Duration {
	var open []time.Duration
	for _, r := range g.running {
		if r.chunks == 0 {
			open = append(open, now-r.startedAt)
		}
	}
	return open
}

// openGaps returns how long the running attempts with some output have gone
// without a further chunk.
func (g *Gate) openGaps(now time.Duration) []time.Duration {
	var open []time.Duration
	for _, r := range g.running {
		if r.chunks > 0 {
			open = append(open, now-r.lastAt)
		}
	}
	return open
}

// openServices returns how long the running attempts have taken.
func (g *Gate) openServices(now time.Duration) []time.Duration {
	open := make([]time.Duration, 0, len(g.running))
	for _, r := range g.running {
		open = append(open, now-r.startedAt)
	}
	return open
}

// wait returns the likely time in the queue of a new attempt. It plays the queue
// forward: each attempt ahead takes the place at the upstream that is free first.
func (g *Gate) wait(now time.Duration, workspace string, priority int) time.Duration {
	capacity := max(1, g.upstream.capacity)
	if len(g.running) < capacity && g.queue.size == 0 {
		return 0
	}
	pace := g.pace(now)
	places := g.places(now, pace, capacity)
	for _, cost := range g.queue.ahead(workspace, priority) {
		places[0] += pace.service(cost)
		heap.Fix(&places, 0)
	}
	return places[0]
}

// places returns when each place at the upstream is free, as a heap.
func (g *Gate) places(now time.Duration, pace pace, capacity int) durationHeap {
	places := make(durationHeap, 0, capacity)
	for _, r := range g.running {
		places = append(places, pace.residual(now, r))
	}
	for len(places) < capacity {
		places = append(places, 0)
	}
	heap.Init(&places)
	return places
}

// placeAfter returns when the next place in the queue is likely free.
func (g *Gate) placeAfter(now time.Duration) time.Duration {
	places := g.places(now, g.pace(now), max(1, g.upstream.capacity))
	return places[0]
}

// durationHeap is a heap of durations, the shortest first.
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
