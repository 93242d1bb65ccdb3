// Package hold stops messages on their way, so that a trial can do something at
// an exact point of a protocol and then let the message go on.
package hold

import "sync"

// Board holds messages of type M. It may be used by many goroutines.
type Board[M any] struct {
	mu     sync.Mutex
	holds  []*Hold[M]
	closed chan struct{}
}

// NewBoard returns a board that holds nothing.
func NewBoard[M any]() *Board[M] {
	return &Board[M]{closed: make(chan struct{})}
}

// Hold is a wish to stop the first message that matches.
type Hold[M any] struct {
	match func(M) bool
	taken bool
	hit   chan M
	open  chan struct{}
	once  sync.Once
}

// Hold stops the first message that matches until Release. Later ones pass.
func (b *Board[M]) Hold(match func(M) bool) *Hold[M] {
	h := &Hold[M]{match: match, hit: make(chan M, 1), open: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds = append(b.holds, h)
	return h
}

// Hit receives the message once it is stopped.
func (h *Hold[M]) Hit() <-chan M { return h.hit }

// Release lets the message go on, or lets it pass if it has not come yet.
func (h *Hold[M]) Release() { h.once.Do(func() { close(h.open) }) }

// Pass returns when the message may go on. A message that nobody holds goes on
// at once. It does not end with the sender's connection: a network, too, may
// deliver what its sender has long given up.
func (b *Board[M]) Pass(message M) {
	h := b.take(message)
	if h == nil {
		return
	}
	h.hit <- message
	select {
	case <-h.open:
	case <-b.closed:
	}
}

// take returns the hold that the message meets, if any.
func (b *Board[M]) take(message M) *Hold[M] {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.holds {
		if !h.taken && h.match(message) {
			h.taken = true
			return h
		}
	}
	return nil
}

// Close lets all messages go on.
func (b *Board[M]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.closed:
	default:
		close(b.closed)
	}
}
