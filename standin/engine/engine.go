// Package engine is a stand-in model engine: continuous batching whose token time
// grows with the batch, priorities, cancel, resume, a bounded prefix cache, and
// orders whose fencing numbers are honoured or ignored.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/answer"
	"acaciawinch/standin/upstream"
)

// Options configure an Engine.
type Options struct {
	// Capacity is the largest batch.
	Capacity int
	// TokenTime is the time of one decoding step of a batch of one.
	TokenTime time.Duration
	// FirstTime is the time of prefilling a prompt whose prefix is not cached.
	FirstTime time.Duration
	// BatchSlope is the part of TokenTime that each further member adds to a step.
	BatchSlope float64
	// HonourFencing makes the engine refuse orders with old fencing numbers.
	HonourFencing bool
	// Models are loaded from the start, as "model@version".
	Models []string
	// LoadTime is how long a model version takes to load.
	LoadTime time.Duration
	// CacheEntries bounds the prefix cache.
	CacheEntries int
	// CacheLag is how late cache events are.
	CacheLag time.Duration
	// Spread draws the times of prompts around FirstTime.
	Spread     *upstream.Spread
	Conditions *upstream.Conditions
}

// Engine implements upstream.Worker.
type Engine struct {
	options Options
	models  *models
	cache   *cache

	mu sync.Mutex
	// waiting and batch hold the sequences that wait and that decode.
	waiting []*sequence
	batch   []*sequence
	wake    chan struct{}
}

// sequence is one call on the engine.
type sequence struct {
	call upstream.Call
	// prefilled is when the first token may come.
	prefilled time.Time
	next      int
	admitted  chan struct{}
	// tokens receives each token and is closed after the last. Its buffer holds
	// all of them, so that a slow reader does not hold up the batch.
	tokens chan []byte
}

// New returns an Engine whose decoding ends with ctx.
func New(ctx context.Context, o Options) *Engine {
	e := &Engine{
		options: o,
		models:  newModels(o.Models, o.LoadTime, o.HonourFencing),
		cache:   newCache(o.CacheEntries, o.CacheLag),
		wake:    make(chan struct{}, 1),
	}
	go e.decode(ctx)
	return e
}

// Run implements upstream.Worker.
func (e *Engine) Run(ctx context.Context, call upstream.Call, out upstream.Output) (uint64, error) {
	if err := e.check(call); err != nil {
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
	return follow(ctx, s, out)
}

// follow passes the sequence's tokens on until the last.
func follow(ctx context.Context, s *sequence, out upstream.Output) (uint64, error) {
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

// check refuses a call that the engine can't carry out.
func (e *Engine) check(call upstream.Call) error {
	if !e.models.loaded(call.Model, call.Version) {
		return fmt.Errorf("%w: %s@%s is not loaded", upstream.ErrNotRun, call.Model, call.Version)
	}
	if call.MaxTokens <= 0 || len(call.Resume) > call.MaxTokens {
		return fmt.Errorf("%w: max_tokens is %d", upstream.ErrNotRun, call.MaxTokens)
	}
	for i, chunk := range call.Resume {
		if !bytes.Equal(chunk, answer.Token(call.Input, i)) {
			return fmt.Errorf("%w: resume chunk %d is not of this input", upstream.ErrNotRun, i)
		}
	}
	return nil
}

// enqueue puts a sequence behind those of its own or a higher priority.
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

// remove takes a sequence out, wherever it is.
func (e *Engine) remove(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

// decode runs one step of the batch after another until ctx ends.
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

// admit fills the batch from the waiting sequences and returns its size.
func (e *Engine) admit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.options.Capacity && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.prefilled = time.Now().Add(e.prefill(s.call.Prefix))
		e.batch = append(e.batch, s)
		close(s.admitted)
	}
	return len(e.batch)
}

// cachedPrefill is the part of the prefill time left when the prefix is cached.
const cachedPrefill = 0.25

// prefill returns how long the prompt of a call takes, and caches its prefix.
func (e *Engine) prefill(prefix uint64) time.Duration {
	duration := e.options.Spread.Draw(e.options.FirstTime)
	if control, _ := e.options.Conditions.Get(); control.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * control.SlowFactor)
	}
	if e.cache.touch(prefix, time.Now()) {
		duration = time.Duration(float64(duration) * cachedPrefill)
	}
	return duration
}

// emit gives each member of the batch that is prefilled its next token.
func (e *Engine) emit(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if now.Before(s.prefilled) {
			return false
		}
		if s.next < s.call.MaxTokens {
			s.tokens <- answer.Token(s.call.Input, s.next)
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
