// Package admit bounds what an entry holds at once: requests, streams and
// connections, and each workspace's share of its own bound.
package admit

import (
	"sync"
)

// Refusal says why a request was not admitted; empty if it was.
type Refusal string

// The reasons not to admit a request.
const (
	Admitted      Refusal = ""
	Draining      Refusal = "the entry is stopping"
	TooMany       Refusal = "the entry holds as many requests as it may"
	TooManyStream Refusal = "the entry holds as many streams as it may"
	WorkspaceFull Refusal = "the workspace holds as many requests as it may"
)

// Limits are the bounds of a Gate.
type Limits struct {
	InFlight int
	Streams  int
}

// Gate counts the requests in flight. It may be used by many goroutines.
type Gate struct {
	limits Limits

	mu          sync.Mutex
	draining    bool
	inFlight    int
	streams     int
	byWorkspace map[string]int
	idle        chan struct{}
}

// NewGate returns a Gate with the given limits.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, byWorkspace: make(map[string]int), idle: make(chan struct{})}
}

// Ticket is one admitted request. Leave must be called once.
type Ticket struct {
	gate      *Gate
	workspace string
	stream    bool
}

// Enter admits a request of workspace whose share at this entry is share; zero
// means no bound.
func (g *Gate) Enter(workspace string, share int, stream bool) (*Ticket, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(workspace, share, stream); refusal != Admitted {
		return nil, refusal
	}
	g.inFlight++
	g.byWorkspace[workspace]++
	if stream {
		g.streams++
	}
	return &Ticket{gate: g, workspace: workspace, stream: stream}, Admitted
}

// refusal applies the limits in the order of their reach.
func (g *Gate) refusal(workspace string, share int, stream bool) Refusal {
	switch {
	case g.draining:
		return Draining
	case g.inFlight >= g.limits.InFlight:
		return TooMany
	case stream && g.streams >= g.limits.Streams:
		return TooManyStream
	case share > 0 && g.byWorkspace[workspace] >= share:
		return WorkspaceFull
	}
	return Admitted
}

// Leave ends the request.
func (t *Ticket) Leave() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if t.stream {
		g.streams--
	}
	g.byWorkspace[t.workspace]--
	if g.byWorkspace[t.workspace] == 0 {
		delete(g.byWorkspace, t.workspace)
	}
	g.closeIfIdle()
}

// Drain ends the admission of requests. The returned channel is closed when
// none is in flight. Drain may be called again.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.closeIfIdle()
	return g.idle
}

// closeIfIdle closes the idle channel once, when draining has emptied the gate.
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

// Counts are the present numbers of a Gate.
type Counts struct {
	InFlight int  `json:"in_flight"`
	Streams  int  `json:"streams"`
	Draining bool `json:"draining"`
}

// Counts returns the present numbers.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{InFlight: g.inFlight, Streams: g.streams, Draining: g.draining}
}
