// Package engine is a stand-in model engine. It has continuous batching whose step
// time grows with the batch, priorities, cancellation, resumption, a bounded prefix
// cache, and orders whose fencing tokens it enforces or ignores.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/output"
	"acaciawinch/standin/upstream"
)

// Options configure an Engine.
type Options struct {
	// Capacity is the maximum batch size.
	Capacity int
	// TokenTime is the duration of one decoding step of a batch of one sequence.
	TokenTime time.Duration
	// PrefillTime is how long the prefill of a prompt takes whose prefix is not cached.
	PrefillTime time.Duration
	// BatchSlope is the fraction of TokenTime that each further sequence of the
	// batch adds to a step.
	BatchSlope float64
	// EnforceFencing makes the engine reject orders with stale fencing tokens.
	EnforceFencing bool
	// Models are the models loaded at startup, as "model@version".
	Models []string
	// LoadTime is how long a model version takes to load.
	LoadTime time.Duration
	// CacheEntries bounds the prefix cache.
	CacheEntries int
	// CacheLag is the delay after which cache events are visible.
	CacheLag time.Duration
	// Spread varies the prefill times around PrefillTime.
	Spread     *upstream.Spread
	Conditions *upstream.Conditions
}

// Engine implements upstream.Worker.
type Engine struct {
	options Options
	models  *models
	cache   *cache

	mu sync.Mutex
	// waiting holds the queued sequences by descending priority, batch those that
	// are being decoded.
	waiting []*sequence
	batch   []*sequence
	// wake signals decode that a sequence was queued.
	wake chan struct{}
}

// sequence is one call on the engine.
type sequence struct {
	call upstream.Call
	// prefilledAt is when the prefill ends and the first token can be emitted.
	prefilledAt time.Time
	// next is the index of the next token.
	next int
	// admitted is closed when the sequence joins the batch.
	admitted chan struct{}
	// tokens receives each token and is closed after the last one. Its buffer
	// holds all of them, so that a slow reader does not block the batch.
	tokens chan []byte
}

// New returns an Engine that decodes until ctx ends.
func New(ctx context.Context, o Options) *Engine {
	e := &Engine{
		options: o,
		models:  newModels(o.Models, o.LoadTime, o.EnforceFencing),
		cache:   newCache(o.CacheEntries, o.CacheLag),
		wake:    make(chan struct{}, 1),
	}
	go e.decode(ctx)
	return e
}

// Run implements upstream.Worker.
func (e *Engine) Run(ctx context.Context, call upstream.Call, out upstream.Output) (uint64, error) {
	if err := e.validate(call); err != nil {
		return 0, err
	}
	s := &sequence{
		call:     call,
		next:     len(call.Resume),
		admitted: make(chan struct{}),
		tokens:   make(chan []byte, call.MaxTokens),
	}
	e.enqueue(s)
	defer e.remove(s)
	select {
	case <-s.admitted:
		out.Started()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return forwardTokens(ctx, s, out)
}

// forwardTokens emits the sequence's tokens until the last one and returns their
// number as the cost.
func forwardTokens(ctx context.Context, s *sequence, out upstream.Output) (uint64, error) {
	cost := uint64(0)
	for {
		select {
		case token, more := <-s.tokens:
			if !more {
				return cost, nil
			}
			cost++
			if err := out.Emit(token); err != nil {
				return cost, err
			}
		case <-ctx.Done():
			return cost, ctx.Err()
		}
	}
}

// validate returns ErrNotRun, with the reason, for a call that the engine can't run.
func (e *Engine) validate(call upstream.Call) error {
	if !e.models.loaded(call.Model, call.Version) {
		return fmt.Errorf("%w: %s@%s is not loaded", upstream.ErrNotRun, call.Model, call.Version)
	}
	if call.MaxTokens <= 0 || len(call.Resume) > call.MaxTokens {
		return fmt.Errorf("%w: max_tokens is %d", upstream.ErrNotRun, call.MaxTokens)
	}
	for i, chunk := range call.Resume {
		if !bytes.Equal(chunk, output.Token(call.Input, i)) {
			return fmt.Errorf("%w: resume chunk %d does not belong to this input", upstream.ErrNotRun, i)
		}
	}
	return nil
}

// enqueue inserts a sequence behind those of the same or a higher priority.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	i := slices.IndexFunc(e.waiting, func(w *sequence) bool {
		return w.call.Priority < s.call.Priority
	})
	if i < 0 {
		i = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, i, s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// remove removes a sequence from the queue or the batch.
func (e *Engine) remove(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

// decode admits sequences and runs decoding steps of the batch until ctx ends.
func (e *Engine) decode(ctx context.Context) {
	for {
		size := e.admit()
		if size == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		growth := 1 + e.options.BatchSlope*float64(size-1)
		step := time.Duration(float64(e.options.TokenTime) * growth)
		if err := e.options.Conditions.Work(ctx, step); err != nil {
			return
		}
		e.emit(time.Now())
	}
}

// admit fills the batch from the queue and returns the size of the batch.
func (e *Engine) admit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.options.Capacity && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.prefilledAt = time.Now().Add(e.prefill(s.call.Prefix))
		e.batch = append(e.batch, s)
		close(s.admitted)
	}
	return len(e.batch)
}

// cachedPrefillFraction is the fraction of the prefill time that a prompt with a cached prefix
// takes.
const cachedPrefillFraction = 0.25

// prefill returns the prefill time of a prompt with the given prefix, and caches
// the prefix.
func (e *Engine) prefill(prefix uint64) time.Duration {
	duration := e.options.Spread.Draw(e.options.PrefillTime)
	if control, _ := e.options.Conditions.Get(); control.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * control.SlowFactor)
	}
	if e.cache.touch(prefix, time.Now()) {
		duration = time.Duration(float64(duration) * cachedPrefillFraction)
	}
	return duration
}

// emit emits the next token of each sequence of the batch whose prefill has ended, and
// removes the sequences that are complete from the batch.
func (e *Engine) emit(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if now.Before(s.prefilledAt) {
			return false
		}
		if s.next < s.call.MaxTokens {
			s.tokens <- output.Token(s.call.Input, s.next)
			s.next++
		}
		if s.next < s.call.MaxTokens {
			return false
		}
		close(s.tokens)
		return true
	})
}

// Status implements upstream.Worker.
func (e *Engine) Status() upstream.Status {
	names, fencing := e.models.snapshot()
	return upstream.Status{Capacity: e.options.Capacity, Models: names, LastFencing: fencing}
}

// Order implements upstream.Worker.
func (e *Engine) Order(order upstream.Order) error { return e.models.order(order) }

// CacheEvents implements upstream.Worker.
func (e *Engine) CacheEvents(cursor uint64) []upstream.CacheEvent {
	return e.cache.events(cursor, time.Now())
}
