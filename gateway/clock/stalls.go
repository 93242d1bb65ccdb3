package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// Timing of Stalls.
const (
	stallPoll = 50 * time.Millisecond
	// stallLength is the shortest time without running that counts as a stall.
	stallLength = 250 * time.Millisecond
)

// Stalls notes when the process did not run, as after a suspension or without processor time. After a
// stall, the order and the times at which the process learns of events say little about the events. It
// is safe for concurrent use; a process whose Stalls does not Run counts as stalled.
type Stalls struct {
	// lastRan is the boot time at which Run last looked, lastStall the end of the last stall; both in
	// nanoseconds.
	lastRan, lastStall atomic.Int64
}

// Run notes stalls until ctx ends.
func (s *Stalls) Run(ctx context.Context) {
	s.lastRan.Store(int64(Boot()))
	for ctx.Err() == nil {
		s.look(Boot())
		Sleep(ctx, stallPoll)
	}
}

// look notes a stall that has ended at the boot time now.
func (s *Stalls) look(now time.Duration) {
	if now-time.Duration(s.lastRan.Swap(int64(now))) > stallLength {
		s.lastStall.Store(int64(now))
	}
}

// Within reports whether a stall has ended within the given time, or has just ended unnoticed.
func (s *Stalls) Within(length time.Duration) bool { return s.withinAt(Boot(), length) }

// withinAt is Within at the boot time now.
func (s *Stalls) withinAt(now, length time.Duration) bool {
	ended := time.Duration(s.lastStall.Load())
	return ended > 0 && now-ended < length || now-time.Duration(s.lastRan.Load()) > stallLength
}
