package herd

import (
	"slices"
	"time"

	"acaciawinch/core/latency"
	"acaciawinch/core/routing"
)

// callEvent is the arrival of a stage call at an upstream or its completion there.
type callEvent struct {
	at       time.Time
	upstream int
	prefix   uint64
	// completion is set when the call leaves the upstream instead of arriving there.
	completion bool
}

// eventHeap is a heap ordered by time; it implements heap.Interface.
type eventHeap []callEvent

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }

// Swap implements heap.Interface.
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(callEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// server is an upstream with a FIFO queue.
type server struct {
	// mean is the mean service time.
	mean     time.Duration
	running  int
	finished uint64
	queue    []callEvent
	// prefixes are the cached prefixes, the most recently used at the end.
	prefixes []uint64
}

// load returns what the sidecar of the server reports at this moment.
func (s *server) load() routing.Load {
	wait := time.Duration(0)
	if s.running == capacity {
		wait = time.Duration(len(s.queue)+1) * s.mean / capacity
	}
	return routing.Load{
		Estimate: latency.Estimate{Wait: wait, ServiceP50: s.mean, ServiceP95: s.mean * p95OverMean},
		Queued:   len(s.queue),
		InFlight: s.running,
		Capacity: capacity,
		Finished: s.finished,
	}
}

// pending returns how many calls are queued or running.
func (s *server) pending() int { return s.running + len(s.queue) }

// touchPrefix records the use of a prefix and reports whether it was cached.
func (s *server) touchPrefix(prefix uint64) bool {
	index := slices.Index(s.prefixes, prefix)
	if index >= 0 {
		s.prefixes = slices.Delete(s.prefixes, index, index+1)
	}
	s.prefixes = append(s.prefixes, prefix)
	if len(s.prefixes) > cachedPrefixes {
		s.prefixes = slices.Delete(s.prefixes, 0, 1)
	}
	return index >= 0
}
