package route

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/routing"
)

// Rate limit of background probes: at most ten a second, so that the loss of a
// whole zone costs an entry little.
const (
	backgroundInterval = 100 * time.Millisecond
	backgroundPerTick  = 1
)

// Run probes suspected upstreams in the background, so that they return to
// service without delaying a request. It returns nil after ctx has ended and all
// background probes have finished.
func (r *Router) Run(ctx context.Context) error {
	var probes errgroup.Group
	ticker := time.NewTicker(backgroundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-ticker.C:
			r.probeDue(ctx, &probes)
		}
	}
}

// probeDue starts probes of the suspected upstreams that are due.
func (r *Router) probeDue(ctx context.Context, probes *errgroup.Group) {
	for _, upstream := range r.due() {
		probes.Go(func() error {
			r.probe(context.WithoutCancel(ctx), upstream, Need{}, r.newTimer(upstream))
			return nil
		})
	}
}

// due returns the suspected upstreams to probe now, at most backgroundPerTick.
func (r *Router) due() []routing.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshPicker()
	var upstreams []routing.Upstream
	for _, id := range r.table.Due(r.opts.Now(), backgroundPerTick) {
		if upstream, ok := r.picker.Upstream(id); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}
