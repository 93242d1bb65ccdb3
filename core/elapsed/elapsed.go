// Package elapsed estimates how much of its client's time a request had used up before it
// came here. A client that was refused comes back under a new id and announces what is
// left of its time: one that announces less than first requests do has waited elsewhere
// before. The package does no I/O and is not safe for concurrent use.
package elapsed

import (
	"slices"
	"time"
)

// Limits of what is learned.
const (
	// remembered is how many announced times are kept: half a minute of a route's
	// requests at a process of a large fleet.
	remembered = 64
	// fewest is how many are needed to say anything.
	fewest = 16
	// refresh is after how many new ones the limit is worked out anew: that takes 0.7 µs, a
	// request 0.1 µs on average with it (BenchmarkShortest, BenchmarkUsed).
	refresh = 8
	// spreadFactor is how far below the median the shortest time of a first request is
	// taken to lie, against the distance of the longest above it. 1 would do if first
	// requests were spread evenly; some requests of clients that come back lower the
	// median, and to take a first request for another would let it wait behind.
	spreadFactor = 1.2
)

// Estimator learns the times that the clients of one route announce. It adapts to them:
// where clients differ much, nothing is said of a single one.
type Estimator struct {
	announced []time.Duration
	// next is where the next one goes once announced is full.
	next int
	// added counts those since shortest was worked out.
	added int
	// shortest is what a first request announces at least; 0 if it isn't known.
	shortest time.Duration
}

// Used records the time that a request announces, and returns how much its client has used
// up at least; 0 for a first request, or if there is no telling.
func (e *Estimator) Used(announced time.Duration) time.Duration {
	if announced <= 0 {
		return 0
	}
	e.add(announced)
	return max(0, e.shortest-announced)
}

// add records one announced time.
func (e *Estimator) add(announced time.Duration) {
	if len(e.announced) < remembered {
		e.announced = append(e.announced, announced)
	} else {
		e.announced[e.next] = announced
		e.next = (e.next + 1) % remembered
	}
	e.added++
	if e.added >= refresh && len(e.announced) >= fewest {
		e.added = 0
		e.shortest = shortestOfFirst(e.announced)
	}
}

// shortestOfFirst returns the shortest time that a first request is taken to announce.
func shortestOfFirst(announced []time.Duration) time.Duration {
	sorted := slices.Clone(announced)
	slices.Sort(sorted)
	median, longest := sorted[len(sorted)/2], sorted[len(sorted)-1]
	return max(0, median-time.Duration(spreadFactor*float64(longest-median)))
}
