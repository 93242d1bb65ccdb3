package engine

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/standin/output"
	"acaciawinch/standin/upstream"
)

// newEngine returns an engine that stops at the end of the test, and its fault
// switches.
func newEngine(t *testing.T, capacity int) (*Engine, *upstream.Conditions) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	conditions := upstream.NewConditions()
	e := New(ctx, Options{
		Capacity:       capacity,
		TokenTime:      time.Millisecond,
		EnforceFencing: true,
		Models:         []string{"m@1"},
		CacheEntries:   2,
		Conditions:     conditions,
	})
	return e, conditions
}

// runningCall is a call in progress.
type runningCall struct {
	started chan struct{}
	chunks  chan []byte
	done    chan error
}

// startCall runs a call for model m@1 in the background.
func startCall(ctx context.Context, e *Engine, call upstream.Call) *runningCall {
	call.Model, call.Version = "m", "1"
	r := &runningCall{
		started: make(chan struct{}),
		chunks:  make(chan []byte, call.MaxTokens+1),
		done:    make(chan error, 1),
	}
	go func() {
		_, err := e.Run(ctx, call, upstream.Output{
			Started: func() { close(r.started) },
			Emit: func(chunk []byte) error {
				r.chunks <- chunk
				return nil
			},
		})
		close(r.chunks)
		r.done <- err
	}()
	return r
}

// output waits until the call ends and returns its joined chunks.
func (r *runningCall) output() []byte {
	var chunks [][]byte
	for chunk := range r.chunks {
		chunks = append(chunks, chunk)
	}
	return output.Join(chunks)
}

// expected returns the joined tokens of input whose indexes are in [from, to).
func expected(input string, from, to int) []byte {
	var all []byte
	for i := from; i < to; i++ {
		all = append(all, output.Token([]byte(input), i)...)
	}
	return all
}

func TestBatchMembersGetTheirOwnTokens(t *testing.T) {
	e, _ := newEngine(t, 3)
	var runs []*runningCall
	inputs := []string{"a", "b", "c", "d", "e"}
	for _, input := range inputs {
		runs = append(runs, startCall(t.Context(), e, upstream.Call{Input: []byte(input), MaxTokens: 5}))
	}
	for i, r := range runs {
		assert.Assert(t, bytes.Equal(r.output(), expected(inputs[i], 0, 5)))
		assert.NilError(t, <-r.done)
	}
}

func TestResumeSkipsWhatTheCallerHas(t *testing.T) {
	e, _ := newEngine(t, 1)
	call := upstream.Call{Input: []byte("a"), MaxTokens: 4}
	call.Resume = [][]byte{output.Token(call.Input, 0), output.Token(call.Input, 1)}
	assert.Assert(t, bytes.Equal(startCall(t.Context(), e, call).output(), expected("a", 2, 4)))
	call.Resume = call.Resume[1:]
	r := startCall(t.Context(), e, call)
	assert.Assert(t, errors.Is(<-r.done, upstream.ErrNotRun), "resume chunks of another input were accepted")
}

func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	e, conditions := newEngine(t, 1)
	conditions.Set(upstream.Control{Hang: true})
	first := startCall(t.Context(), e, upstream.Call{Input: []byte("a"), MaxTokens: 1})
	<-first.started
	low := startCall(t.Context(), e, upstream.Call{Input: []byte("b"), MaxTokens: 1})
	awaitQueued(t, e, 1)
	high := startCall(t.Context(), e, upstream.Call{Input: []byte("c"), MaxTokens: 1, Priority: 1})
	awaitQueued(t, e, 2)
	e.mu.Lock()
	next := string(e.waiting[0].call.Input)
	e.mu.Unlock()
	assert.Equal(t, next, "c")
	conditions.Set(upstream.Control{})
	for _, r := range []*runningCall{first, low, high} {
		assert.NilError(t, <-r.done)
	}
}

// awaitQueued waits until count calls are queued.
func awaitQueued(t *testing.T, e *Engine, count int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.waiting) == count {
			return poll.Success()
		}
		return poll.Continue("%d calls are queued", len(e.waiting))
	}, poll.WithDelay(time.Millisecond))
}

func TestCancelFreesBatchSlot(t *testing.T) {
	e, _ := newEngine(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	long := startCall(ctx, e, upstream.Call{Input: []byte("a"), MaxTokens: 100_000})
	<-long.started
	next := startCall(t.Context(), e, upstream.Call{Input: []byte("b"), MaxTokens: 1})
	cancel()
	assert.Assert(t, errors.Is(<-long.done, context.Canceled))
	assert.Assert(t, bytes.Equal(next.output(), expected("b", 0, 1)))
}

func TestUnloadedModelIsNotRun(t *testing.T) {
	e, _ := newEngine(t, 1)
	_, err := e.Run(t.Context(), upstream.Call{Model: "m", Version: "2", MaxTokens: 1}, upstream.Output{})
	assert.Assert(t, errors.Is(err, upstream.ErrNotRun))
	assert.NilError(t, e.Order(upstream.Order{Fencing: 1, Action: "load", Model: "m", Version: "2"}))
	r := startCall(t.Context(), e, upstream.Call{Input: []byte("a"), MaxTokens: 1})
	assert.NilError(t, <-r.done)
}

func TestStaleFencingTokenIsRejectedOrIgnored(t *testing.T) {
	for _, enforce := range []bool{true, false} {
		m := newModels(nil, 0, enforce)
		assert.NilError(t, m.order(upstream.Order{Fencing: 5, Action: "load", Model: "m", Version: "1"}))
		err := m.order(upstream.Order{Fencing: 4, Action: "unload", Model: "m", Version: "1"})
		assert.Equal(t, errors.Is(err, upstream.ErrStaleFencing), enforce)
		assert.Equal(t, m.loaded("m", "1"), enforce)
		assert.NilError(t, m.order(upstream.Order{Fencing: 5, Action: "load", Model: "m", Version: "1"}))
	}
}

func TestCacheIsBoundedAndEventsAreDelayedWithGaps(t *testing.T) {
	c := newCache(2, time.Second)
	now := time.Unix(100, 0)
	assert.Assert(t, !c.touch(1, now))
	assert.Assert(t, !c.touch(2, now))
	assert.Assert(t, c.touch(1, now))
	assert.Assert(t, !c.touch(3, now)) // evicts 2, the least recently used
	assert.Assert(t, c.touch(1, now))
	assert.Assert(t, !c.touch(2, now)) // evicts 3
	assert.Assert(t, !c.touch(4, now)) // evicts 1: the seventh event is lost
	assert.Equal(t, len(c.events(0, now)), 0)
	events := c.events(0, now.Add(time.Second))
	assert.Equal(t, len(events), 7)
	assert.Equal(t, events[6].Number, uint64(8))
	assert.Equal(t, len(c.events(8, now.Add(time.Second))), 1)
}
