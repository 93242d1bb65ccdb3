// Package pool is a stand-in worker of a stage pool or of a plain service. It runs a
// bounded number of concurrent calls, each of a duration drawn around a nominal one.
package pool

import (
	"context"
	"time"

	"acaciawinch/standin/output"
	"acaciawinch/standin/upstream"
)

// Options configure a Pool.
type Options struct {
	Service  string
	Capacity int
	// Duration is the nominal duration of one call.
	Duration time.Duration
	// Spread draws the durations of calls around Duration.
	Spread     *upstream.Spread
	Conditions *upstream.Conditions
}

// Pool implements upstream.Worker.
type Pool struct {
	options Options
	slots   chan struct{}
}

// New returns a Pool.
func New(o Options) *Pool {
	return &Pool{options: o, slots: make(chan struct{}, o.Capacity)}
}

// Run implements upstream.Worker.
func (p *Pool) Run(ctx context.Context, call upstream.Call, out upstream.Output) (uint64, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-p.slots }()
	out.Started()
	if err := p.options.Conditions.Work(ctx, p.options.Spread.Draw(p.options.Duration)); err != nil {
		return 0, err
	}
	if err := out.Emit(output.ServiceOutput(p.options.Service, call.Input)); err != nil {
		return 1, err
	}
	return 1, nil
}

// Status implements upstream.Worker.
func (p *Pool) Status() upstream.Status {
	return upstream.Status{Capacity: p.options.Capacity, Models: []string{}}
}

// Order implements upstream.Worker. Pools and plain services accept no orders.
func (p *Pool) Order(upstream.Order) error { return upstream.ErrNoOrders }

// CacheEvents implements upstream.Worker. Pools and plain services have no cache.
func (p *Pool) CacheEvents(uint64) []upstream.CacheEvent { return []upstream.CacheEvent{} }
