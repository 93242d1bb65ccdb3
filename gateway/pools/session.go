package pools

import "acaciawinch/core/pool"

// Session is one asker at an owner. When it ends, its open tasks are cancelled. The
// Owner's lock guards its state.
type Session struct {
	owner *Owner
	// local is set for the asker of the owner's own process, which is served to the end.
	local bool
	open  map[uint64]openTicket
	ended bool
}

// openTicket is where an asker's task stands at the owner.
type openTicket struct {
	pool   *owned
	ticket pool.Ticket
}

// Session returns a new session; local is set for the owner's own process.
func (o *Owner) Session(local bool) *Session {
	return &Session{owner: o, local: local, open: make(map[uint64]openTicket)}
}

// Submit queues a task under the asker's number.
func (s *Session) Submit(number uint64, task Task, notify Notify) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.submit(number, task, notify)
}

// submit queues a task. The lock is held.
func (s *Session) submit(number uint64, task Task, notify Notify) {
	if s.ended {
		return
	}
	if s.owner.leaving && !s.local {
		notify.Done(Result{Failure: OwnerLeft})
		return
	}
	if s.owner.keepEarly(s, number, task, notify) {
		return
	}
	if !s.owner.submit(s, number, task, notify) {
		notify.Done(Result{Failure: Failed})
	}
}

// Cancel drops a task that nobody waits for. One that has ended stays as it is.
func (s *Session) Cancel(number uint64) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if at, known := s.open[number]; known {
		at.pool.cancel(at.ticket)
	}
	s.owner.forgetEarly(s, number)
}

// Free gives results of a part of a pool back.
func (s *Session) Free(part Part, handles []string) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.free(part, handles)
}

// End cancels all open tasks.
func (s *Session) End() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.ended = true
	for _, at := range s.open {
		at.pool.cancel(at.ticket)
	}
}
