package pools

import (
	"time"

	"acaciawinch/core/memory"
	"acaciawinch/core/pool"
)

// Session is one caller's session with an owner. Ending it cancels its open tasks. The Owner's
// lock guards its state.
type Session struct {
	owner *Owner
	// local is set for the session of the owner's own process, which is still served when the
	// owner is stopping.
	local bool
	tasks map[uint64]taskRef
	ended bool
	// caller is the process at the other end; nil if it is this process or unknown.
	caller *caller
}

// taskRef locates a caller's task at the owner.
type taskRef struct {
	part   *ownedPart
	ticket pool.Ticket
}

// Session returns a new session; local is set for the owner's own process.
func (o *Owner) Session(local bool) *Session {
	return &Session{owner: o, local: local, tasks: make(map[uint64]taskRef)}
}

// Submit queues a task under the caller's number. A task that finds no memory ends at once.
func (s *Session) Submit(number uint64, task Task, notify Notify) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	room := s.owner.memory.Begin(memory.Bulk)
	if room.Grow(task.size()) != nil {
		notify.Done(Result{Failure: NoMemory})
		return
	}
	s.submit(number, task, notify, room)
}

// submit queues a task, whose memory is room. The Owner's lock must be held.
func (s *Session) submit(number uint64, task Task, notify Notify, room *memory.Reservation) {
	switch {
	case s.ended:
		room.Release()
	case s.owner.leaving && !s.local:
		room.Release()
		notify.Done(Result{Failure: OwnerLeft})
	case s.owner.holdEarlyTask(s, number, task, notify, room):
	case !s.owner.submit(s, number, task, notify, room):
		room.Release()
		notify.Done(Result{Failure: Failed})
	}
}

// Cancel drops a task that nobody waits for. It does nothing if the task has ended.
func (s *Session) Cancel(number uint64) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if ref, known := s.tasks[number]; known {
		ref.part.cancel(ref.ticket)
	}
	s.owner.dropEarlyTask(s, number)
}

// Free frees results of a part of a pool.
func (s *Session) Free(part Part, handles []string) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.free(part, handles)
}

// End cancels all open tasks. The results that were handed to the caller stay until it frees them over
// another session, they expire or the caller turns out to be gone.
func (s *Session) End() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	for _, ref := range s.tasks {
		ref.part.cancel(ref.ticket)
	}
	s.owner.leave(s.caller, time.Now())
}
