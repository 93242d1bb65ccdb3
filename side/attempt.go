package side

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/wirepb"
)

// attempt is one attempt with its stored output. Subscribers follow it from any chunk;
// it outlives their streams.
type attempt struct {
	key core.AttemptKey
	// ctx ends when the upstream call must be cancelled.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// claim is nil for an idempotent attempt.
	claim *wirepb.ClaimKey
	// acknowledged is guarded by the dispatcher's mutex.
	acknowledged bool

	mu      sync.Mutex
	call    upstream.Call
	started *wirepb.Started
	chunks  [][]byte
	bytes   int
	digest  *xxhash.Digest
	// end is the closing event, nil until the attempt ends.
	end *wirepb.RunEvent
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
}

// newAttempt returns an attempt that has not started.
func newAttempt(key core.AttemptKey, call upstream.Call, claim *wirepb.ClaimKey) *attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &attempt{
		key:     key,
		ctx:     ctx,
		cancel:  cancel,
		claim:   claim,
		call:    call,
		changed: make(chan struct{}),
		digest:  xxhash.New(),
	}
}

// stop cancels the upstream call of the attempt.
func (a *attempt) stop(cause string) { a.cancel(errors.New(cause)) }

// stopCause returns the cause given to stop.
func (a *attempt) stopCause() string {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause.Error()
	}
	return ""
}

// takeCall returns the call and releases its input.
func (a *attempt) takeCall() upstream.Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := a.call
	a.call = upstream.Call{}
	return call
}

// notify wakes the subscribers. mu must be held.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start records that the attempt was sent to the upstream.
func (a *attempt) start(queuedUS uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = &wirepb.Started{QueuedUs: queuedUS}
	a.notify()
}

// appendChunk stores one chunk of output and returns the total size in bytes.
func (a *attempt) appendChunk(chunk []byte) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.bytes += len(chunk)
	a.digest.Write(chunk)
	a.notify()
	return a.bytes
}

// size returns the number of chunks so far and their total bytes.
func (a *attempt) size() (chunks, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.chunks), a.bytes
}

// output returns the chunks so far and their digest.
func (a *attempt) output() ([][]byte, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chunks, a.digest.Sum64()
}

// isDone reports whether the attempt ended with a complete output.
func (a *attempt) isDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.GetDone() != nil
}

// finish sets the closing event. Only the first call has an effect, because
// subscribers may have received its event.
func (a *attempt) finish(end *wirepb.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = end
	a.notify()
}

// doneEvent returns the closing event of a complete output.
func (a *attempt) doneEvent(cost uint64, load *wirepb.Load) *wirepb.RunEvent {
	chunks, digest := a.output()
	return &wirepb.RunEvent{Key: attemptKeyMessage(a.key), Event: &wirepb.RunEvent_Done{Done: &wirepb.Done{
		Chunks: uint64(len(chunks)),
		Digest: digest,
		Cost:   cost,
		Load:   load,
	}}}
}
