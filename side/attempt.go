package side

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/wire/wirepb"
)

// attempt is one attempt with the output that is kept of it. Readers follow it
// from any chunk; it outlives their streams.
type attempt struct {
	key    core.AttemptKey
	cancel context.CancelFunc

	mu      sync.Mutex
	started *wirepb.Started
	chunks  [][]byte
	// end is the closing event, nil while the attempt goes on.
	end *wirepb.RunEvent
	// changed is closed and replaced with each change of the fields above.
	changed chan struct{}
	digest  *xxhash.Digest
}

// newAttempt returns an attempt that has not started.
func newAttempt(key core.AttemptKey, cancel context.CancelFunc) *attempt {
	return &attempt{key: key, cancel: cancel, changed: make(chan struct{}), digest: xxhash.New()}
}

// notify wakes the readers. The caller holds mu.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start notes that the attempt was handed to the upstream.
func (a *attempt) start(queuedUS uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = &wirepb.Started{QueuedUs: queuedUS}
	a.notify()
}

// add keeps one chunk of output.
func (a *attempt) add(chunk []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.digest.Write(chunk)
	a.notify()
}

// finish sets the closing event. A second call has no effect: the first ending
// is the one that readers may have seen.
func (a *attempt) finish(end *wirepb.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = end
	a.notify()
}

// done returns the closing event of a whole output.
func (a *attempt) done(cost uint64, load *wirepb.Load) *wirepb.RunEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.RunEvent{Key: keyMessage(a.key), Event: &wirepb.RunEvent_Done{Done: &wirepb.Done{
		Chunks: uint64(len(a.chunks)),
		Digest: a.digest.Sum64(),
		Cost:   cost,
		Load:   load,
	}}}
}

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

// follow sends the attempt's events from chunk `from` on until its end, or until
// ctx ends or send fails.
func (a *attempt) follow(ctx context.Context, from uint64, send func(*wirepb.RunEvent) error) error {
	next := int(from)
	told := false
	for {
		now := a.look()
		if now.started != nil && !told {
			told = true
			if err := send(&wirepb.RunEvent{Key: keyMessage(a.key), Event: &wirepb.RunEvent_Started{Started: now.started}}); err != nil {
				return err
			}
		}
		for ; next < len(now.chunks); next++ {
			chunk := &wirepb.Chunk{Index: uint64(next), Data: now.chunks[next]}
			if err := send(&wirepb.RunEvent{Key: keyMessage(a.key), Event: &wirepb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if now.end != nil {
			return send(now.end)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-now.changed:
		}
	}
}
