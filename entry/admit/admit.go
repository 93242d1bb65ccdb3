// Package admit limits the requests, streams and connections that are open at an
// entry at once, and the requests in flight of each workspace. An adaptive limit for
// each workspace and pipeline refuses requests that the upstreams would be too slow
// for.
package admit

import (
	"sync"
	"time"
)

// Refusal is the reason why a request was not admitted; empty if it was admitted.
type Refusal string

// Reasons for not admitting a request.
const (
	Admitted        Refusal = ""
	Draining        Refusal = "the entry is shutting down"
	TooManyRequests Refusal = "the entry is at its limit of requests in flight"
	TooManyStreams  Refusal = "the entry is at its limit of open streams"
	WorkspaceFull   Refusal = "the workspace is at its limit of requests in flight"
	Overloaded      Refusal = "the upstreams can't keep up with the workspace's requests"
)

// Request describes a request that is to be admitted.
type Request struct {
	Workspace string
	Pipeline  string
	// Bound limits the workspace's requests in flight; zero means no limit. It is the
	// limit for the whole fleet, which a single entry must not exceed either.
	Bound int
	// Stream is set if the response is streamed.
	Stream bool
}

// End is how an admitted request ended, as far as it matters for the adaptive limit.
type End int

// Ends of requests.
const (
	// EndOther says nothing about the upstreams' load.
	EndOther End = iota
	// EndCompleted means that the whole response arrived in time.
	EndCompleted
	// EndOverloaded means that the request was refused after its admission because its
	// remaining time was too short.
	EndOverloaded
)

// Limits are the limits of a Gate over all workspaces.
type Limits struct {
	InFlight int
	Streams  int
}

// Gate admits requests and counts those in flight. It is safe for concurrent use.
type Gate struct {
	limits Limits

	mu          sync.Mutex
	draining    bool
	inFlight    int
	streams     int
	byWorkspace map[string]int
	// adaptive holds the limits by workspace and pipeline. A limit is deleted when no
	// request is in flight under it and it is not in force.
	adaptive map[limitKey]*adaptiveLimit
	idle     chan struct{}
}

// NewGate returns a Gate with the given limits.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, byWorkspace: make(map[string]int), adaptive: make(map[limitKey]*adaptiveLimit), idle: make(chan struct{})}
}

// limitKey identifies the requests that share an adaptive limit.
type limitKey struct{ workspace, pipeline string }

// Ticket is one admitted request. Done must be called once.
type Ticket struct {
	gate     *Gate
	request  Request
	adaptive *adaptiveLimit
	// nearLimit is set if the adaptive limit was nearly reached when the request was
	// admitted.
	nearLimit bool
}

// Admit admits a request, or returns why not and after how long to retry. The duration
// is zero if that is not known.
func (g *Gate) Admit(now time.Time, request Request) (*Ticket, Refusal, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(request); refusal != Admitted {
		return nil, refusal, 0
	}
	key := limitKey{request.Workspace, request.Pipeline}
	limit, ok := g.adaptive[key]
	if !ok {
		limit = &adaptiveLimit{}
		g.adaptive[key] = limit
	}
	if !limit.allows(now) {
		return nil, Overloaded, limit.retryAfter
	}
	nearLimit := limit.admit()
	g.inFlight++
	g.byWorkspace[request.Workspace]++
	if request.Stream {
		g.streams++
	}
	return &Ticket{gate: g, request: request, adaptive: limit, nearLimit: nearLimit}, Admitted, 0
}

// refusal returns why the fixed limits don't admit a request, or Admitted. The limits of
// the whole entry come first.
func (g *Gate) refusal(request Request) Refusal {
	switch {
	case g.draining:
		return Draining
	case g.inFlight >= g.limits.InFlight:
		return TooManyRequests
	case request.Stream && g.streams >= g.limits.Streams:
		return TooManyStreams
	case request.Bound > 0 && g.byWorkspace[request.Workspace] >= request.Bound:
		return WorkspaceFull
	}
	return Admitted
}

// Done ends the request. With EndOverloaded, retryAfter is the retry delay that the
// client was given.
func (t *Ticket) Done(now time.Time, end End, retryAfter time.Duration) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch end {
	case EndCompleted:
		t.adaptive.completed(now, t.nearLimit)
	case EndOverloaded:
		t.adaptive.overloaded(now, retryAfter)
	}
	t.adaptive.inFlight--
	if t.adaptive.inFlight == 0 && t.adaptive.limit == 0 {
		delete(g.adaptive, limitKey{t.request.Workspace, t.request.Pipeline})
	}
	g.inFlight--
	if t.request.Stream {
		g.streams--
	}
	g.byWorkspace[t.request.Workspace]--
	if g.byWorkspace[t.request.Workspace] == 0 {
		delete(g.byWorkspace, t.request.Workspace)
	}
	g.closeIfIdle()
}

// Drain stops the admission of requests. The returned channel is closed when no
// request is in flight any more. Drain may be called more than once.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.closeIfIdle()
	return g.idle
}

// closeIfIdle closes the idle channel, once, when the gate is draining and no request
// is in flight.
func (g *Gate) closeIfIdle() {
	if !g.draining || g.inFlight > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Counts are the current counts of a Gate.
type Counts struct {
	InFlight int  `json:"in_flight"`
	Streams  int  `json:"streams"`
	Draining bool `json:"draining"`
}

// Counts returns the current counts.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{InFlight: g.inFlight, Streams: g.streams, Draining: g.draining}
}
