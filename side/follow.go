package side

import (
	"context"

	"acaciawinch/wire/wirepb"
)

// view is what a reader sees of an attempt at one moment.
type view struct {
	started *wirepb.Started
	chunks  [][]byte
	end     *wirepb.RunEvent
	changed <-chan struct{}
}

// look returns the present view.
func (a *attempt) look() view {
	a.mu.Lock()
	defer a.mu.Unlock()
	return view{started: a.started, chunks: a.chunks, end: a.end, changed: a.changed}
}

// reader sends one attempt's events to one stream.
type reader struct {
	attempt *attempt
	send    func(*wirepb.RunEvent) error
	// next is the first chunk that was not sent.
	next uint64
	// told is set once the start was sent.
	told bool
}

// follow sends events until the closing one, until ctx ends, or until the stream
// breaks. It returns nil only after the closing event.
func (r *reader) follow(ctx context.Context) error {
	for {
		now := r.attempt.look()
		if err := r.sendNew(now); err != nil {
			return err
		}
		if now.end != nil {
			return r.send(now.end)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-now.changed:
		}
	}
}

// sendNew sends the start and the chunks that are new.
func (r *reader) sendNew(now view) error {
	key := keyMessage(r.attempt.key)
	if now.started != nil && !r.told {
		r.told = true
		if err := r.send(&wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Started{Started: now.started}}); err != nil {
			return err
		}
	}
	for ; r.next < uint64(len(now.chunks)); r.next++ {
		chunk := &wirepb.Chunk{Index: r.next, Data: now.chunks[r.next]}
		if err := r.send(&wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return nil
}
