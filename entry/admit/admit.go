// Package admit bounds what an entry holds at once: requests, streams and
// connections, and each workspace's requests.
package admit

import (
	"sync"
	"time"
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
	Overloaded    Refusal = "the upstreams don't keep up with the workspace's requests"
)

// Ask describes a request that wants to enter.
type Ask struct {
	Workspace string
	Pipeline  string
	// Bound bounds the workspace's requests; zero means no bound. This entry alone
	// holds no more than the bound of the whole fleet.
	Bound int
	// Stream is set if the answer is streamed.
	Stream bool
}

// End is how an admitted request ended, as far as the admission of others goes.
type End int

// The ends of requests.
const (
	// EndOther tells nothing of the upstreams.
	EndOther End = iota
	// EndAnswered: the whole answer came in time.
	EndAnswered
	// EndOverloaded: it was refused behind its admission for want of time.
	EndOverloaded
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
	// paces is by workspace and pipeline. An entry goes when nothing is in flight
	// and there is no limit.
	paces map[paceKey]*pace
	idle  chan struct{}
}

// NewGate returns a Gate with the given limits.
func NewGate(limits Limits) *Gate {
	return &Gate{limits: limits, byWorkspace: make(map[string]int), paces: make(map[paceKey]*pace), idle: make(chan struct{})}
}

// paceKey names what is paced together.
type paceKey struct{ workspace, pipeline string }

// Ticket is one admitted request. Leave must be called once.
type Ticket struct {
	gate *Gate
	ask  Ask
	pace *pace
	// near is set if the request used the pace's limit.
	near bool
}

// Enter admits a request, or tells why not and when to ask again. A zero time is
// not known.
func (g *Gate) Enter(now time.Time, ask Ask) (*Ticket, Refusal, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(ask); refusal != Admitted {
		return nil, refusal, 0
	}
	key := paceKey{ask.Workspace, ask.Pipeline}
	p, ok := g.paces[key]
	if !ok {
		p = &pace{}
		g.paces[key] = p
	}
	if !p.allows(now) {
		return nil, Overloaded, p.retryAfter
	}
	near := p.enter()
	g.inFlight++
	g.byWorkspace[ask.Workspace]++
	if ask.Stream {
		g.streams++
	}
	return &Ticket{gate: g, ask: ask, pace: p, near: near}, Admitted, 0
}

// refusal applies the limits in the order of their reach.
func (g *Gate) refusal(ask Ask) Refusal {
	switch {
	case g.draining:
		return Draining
	case g.inFlight >= g.limits.InFlight:
		return TooMany
	case ask.Stream && g.streams >= g.limits.Streams:
		return TooManyStream
	case ask.Bound > 0 && g.byWorkspace[ask.Workspace] >= ask.Bound:
		return WorkspaceFull
	}
	return Admitted
}

// Leave ends the request. RetryAfter is what an overloaded one was told.
func (t *Ticket) Leave(now time.Time, end End, retryAfter time.Duration) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch end {
	case EndAnswered:
		t.pace.answered(now, t.near)
	case EndOverloaded:
		t.pace.overloaded(now, retryAfter)
	}
	t.pace.inFlight--
	if t.pace.inFlight == 0 && t.pace.limit == 0 {
		delete(g.paces, paceKey{t.ask.Workspace, t.ask.Pipeline})
	}
	g.inFlight--
	if t.ask.Stream {
		g.streams--
	}
	g.byWorkspace[t.ask.Workspace]--
	if g.byWorkspace[t.ask.Workspace] == 0 {
		delete(g.byWorkspace, t.ask.Workspace)
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
