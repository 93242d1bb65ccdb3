package route

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/routing"
)

// Suspected upstreams whose time has come are probed at this pace, at most ten
// a second, so that a whole zone gone costs an entry little.
const (
	backgroundInterval = 100 * time.Millisecond
	backgroundPerTick  = 1
)

// Run probes suspected upstreams in the background, so that they come back
// without a request paying for the attempt. It returns nil when ctx ends and all
// those probes are over.
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

// probeDue starts probes of suspected upstreams.
func (r *Router) probeDue(ctx context.Context, probes *errgroup.Group) {
	for _, upstream := range r.due() {
		probes.Go(func() error {
			r.probe(context.WithoutCancel(ctx), upstream, Need{}, r.watch(upstream))
			return nil
		})
	}
}

// due returns the suspected upstreams to probe now.
func (r *Router) due() []routing.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	var upstreams []routing.Upstream
	for _, id := range r.table.Due(r.opts.Now(), backgroundPerTick) {
		if upstream, ok := r.picker.Upstream(id); ok {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}
