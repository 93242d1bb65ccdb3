package side

import (
	"context"

	"acaciawinch/wire/wirepb"
)

// attemptSnapshot is the state of an attempt at one moment, as a subscriber reads it.
type attemptSnapshot struct {
	started *wirepb.Started
	chunks  [][]byte
	end     *wirepb.RunEvent
	changed <-chan struct{}
}

// snapshot returns the current state of the attempt.
func (a *attempt) snapshot() attemptSnapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return attemptSnapshot{started: a.started, chunks: a.chunks, end: a.end, changed: a.changed}
}

// subscriber sends one attempt's events to one stream.
type subscriber struct {
	attempt *attempt
	send    func(*wirepb.RunEvent) error
	// next is the index of the first chunk that was not sent.
	next uint64
	// startedSent is set once the Started event was sent.
	startedSent bool
}

// follow sends events until the closing one, until ctx ends, or until the stream
// breaks. It returns nil only after the closing event.
func (s *subscriber) follow(ctx context.Context) error {
	for {
		current := s.attempt.snapshot()
		if err := s.sendNew(current); err != nil {
			return err
		}
		if current.end != nil {
			return s.send(current.end)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-current.changed:
		}
	}
}

// sendNew sends the Started event and the chunks that were not sent yet.
func (s *subscriber) sendNew(current attemptSnapshot) error {
	key := attemptKeyMessage(s.attempt.key)
	if current.started != nil && !s.startedSent {
		s.startedSent = true
		if err := s.send(&wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Started{Started: current.started}}); err != nil {
			return err
		}
	}
	for ; s.next < uint64(len(current.chunks)); s.next++ {
		chunk := &wirepb.Chunk{Index: s.next, Data: current.chunks[s.next]}
		if err := s.send(&wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return nil
}
