// Package hold stops messages in transit, so that a test can act at an exact point of a
// protocol and then let the message continue. A Gate is on the path of the messages; a
// Hold stops one of them.
package hold

import "sync"

// Gate stops messages of type M. It is safe for concurrent use.
type Gate[M any] struct {
	mu     sync.Mutex
	holds  []*Hold[M]
	closed chan struct{}
}

// NewGate returns a gate without holds.
func NewGate[M any]() *Gate[M] {
	return &Gate[M]{closed: make(chan struct{})}
}

// Hold stops the first message that matches.
type Hold[M any] struct {
	match       func(M) bool
	matched     bool
	stopped     chan M
	released    chan struct{}
	releaseOnce sync.Once
}

// Hold stops the first message that matches until Release. Later matches pass.
func (g *Gate[M]) Hold(match func(M) bool) *Hold[M] {
	h := &Hold[M]{match: match, stopped: make(chan M, 1), released: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holds = append(g.holds, h)
	return h
}

// Stopped returns a channel that receives the message once it is stopped.
func (h *Hold[M]) Stopped() <-chan M { return h.stopped }

// Release lets the message continue, or pass if it has not arrived yet.
func (h *Hold[M]) Release() { h.releaseOnce.Do(func() { close(h.released) }) }

// Pass returns once the message may continue, which is at once if no hold matches it.
// Pass does not end with the sender's connection: a network may also deliver messages
// whose sender gave up long ago.
func (g *Gate[M]) Pass(message M) {
	h := g.match(message)
	if h == nil {
		return
	}
	h.stopped <- message
	select {
	case <-h.released:
	case <-g.closed:
	}
}

// match returns the hold that stops the message, or nil.
func (g *Gate[M]) match(message M) *Hold[M] {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.holds {
		if !h.matched && h.match(message) {
			h.matched = true
			return h
		}
	}
	return nil
}

// Close releases all messages, present and future.
func (g *Gate[M]) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
	default:
		close(g.closed)
	}
}
