package feed

import "sync"

// signal wakes all its waiters each time it is sent, and counts how often it was sent.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
	sent uint64
}

// newSignal returns a signal that has not been sent.
func newSignal() *signal { return &signal{next: make(chan struct{})} }

// wait returns a channel that is closed when the signal is sent next.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// send wakes all waiters.
func (s *signal) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
	s.sent++
}

// count returns how often the signal was sent.
func (s *signal) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}
