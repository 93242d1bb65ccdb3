package herd

import (
	"slices"
	"time"

	"acaciawinch/core/latency"
	"acaciawinch/core/routing"
)

// request is one stage call on its way.
type request struct {
	at       time.Time
	upstream int
	prefix   uint64
	// ends is set when the call leaves the upstream instead of arriving there.
	ends bool
}

// requests is a heap by time; it implements heap.Interface.
type requests []request

// Len implements heap.Interface.
func (q requests) Len() int { return len(q) }

// Less implements heap.Interface.
func (q requests) Less(a, b int) bool { return q[a].at.Before(q[b].at) }

// Swap implements heap.Interface.
func (q requests) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *requests) Push(x any) { *q = append(*q, x.(request)) }

// Pop implements heap.Interface.
func (q *requests) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// server is an upstream with a queue in the order of arrival.
type server struct {
	mean     time.Duration
	running  int
	finished uint64
	queue    []request
	// prefixes are the last distinct ones, the latest at the end.
	prefixes []uint64
}

// load returns what the server's side reports at this moment.
func (s *server) load() routing.Load {
	wait := time.Duration(0)
	if s.running == capacity {
		wait = time.Duration(len(s.queue)+1) * s.mean / capacity
	}
	return routing.Load{
		Estimate: latency.Estimate{Wait: wait, ServiceP50: s.mean, ServiceP95: s.mean * exponentialTail},
		Queued:   len(s.queue),
		InFlight: s.running,
		Capacity: capacity,
		Finished: s.finished,
	}
}

// held returns how many calls the server has.
func (s *server) held() int { return s.running + len(s.queue) }

// use notes a prefix and tells whether it was still kept.
func (s *server) use(prefix uint64) bool {
	at := slices.Index(s.prefixes, prefix)
	if at >= 0 {
		s.prefixes = slices.Delete(s.prefixes, at, at+1)
	}
	s.prefixes = append(s.prefixes, prefix)
	if len(s.prefixes) > cachedPrefixes {
		s.prefixes = slices.Delete(s.prefixes, 0, 1)
	}
	return at >= 0
}
