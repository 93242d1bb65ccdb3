package pools

import (
	"time"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/ratelimit"
)

const (
	// permitWait bounds the wait for the permit of a call, after which the first waiting task may be another one.
	permitWait = time.Second
	// minAskInterval and maxAskInterval bound the time until a permit is asked again after a refusal.
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = 500 * time.Millisecond
	// unusedTime is how long a permit is kept for a call: long enough for the next item of a pool in use, short
	// enough for the permit to be granted again.
	unusedTime = core.PermitTTL / 2
	// callsPerFree is the number of calls that an upstream with a limit could take in the time between two calls
	// that free results: most of its limit is for work.
	callsPerFree = 5
	// maxFreeInterval bounds that time.
	maxFreeInterval = 30 * time.Second
)

// applyLimits gives the queue of a part the limits that upstreams have named. o.mu must be held.
func (o *Owner) applyLimits(p *ownedPart) {
	if !p.hasLimits && !o.limits.Active() {
		return
	}
	perSecond := make(map[string]float64)
	for _, upstream := range p.of(o.fleet.Upstreams()) {
		if limit, limited := o.limits.Limit(upstream); limited {
			perSecond[upstream.ID] = core.Rate(limit)
		}
	}
	p.hasLimits = len(perSecond) > 0
	p.queue.SetLimits(perSecond)
}

// takePermit removes and returns the permit for a call to an upstream, nil if there is none. The Owner's
// lock must be held.
func (p *ownedPart) takePermit(upstream routes.Upstream) *ratelimit.Permit {
	permit := p.permits[upstream.ID]
	delete(p.permits, upstream.ID)
	return permit
}

// askPermits asks for the permits that waiting items could use. o.mu must be held.
func (o *Owner) askPermits(p *ownedPart, now time.Time) {
	if !p.hasLimits {
		return
	}
	need := p.queue.NeedsPermit(now)
	for _, upstream := range need.Upstreams {
		if !p.asking[upstream.ID] {
			p.asking[upstream.ID] = true
			go o.acquirePermit(p, upstream, ratelimit.Request{Service: p.Service, Upstreams: []routes.Upstream{upstream}, Rank: need.Rank, Value: need.Value, Wait: permitWait})
		}
	}
}

// acquirePermit asks for a permit for one call, and sends the call. A permit that no call uses is returned.
func (o *Owner) acquirePermit(p *ownedPart, upstream routes.Upstream, asked ratelimit.Request) {
	permit, err := o.limits.Acquire(o.lifetime, asked)
	if err != nil {
		o.askLater(p, upstream, err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(p.asking, upstream.ID)
	now := time.Now()
	p.permits[upstream.ID] = permit
	p.queue.Permit(upstream, now.Add(unusedTime))
	o.sendCalls(p, now)
	time.AfterFunc(unusedTime, func() { o.releaseUnused(p, upstream, permit) })
}

// releaseUnused returns a permit that no call has taken.
func (o *Owner) releaseUnused(p *ownedPart, upstream routes.Upstream, permit *ratelimit.Permit) {
	o.mu.Lock()
	unused := p.permits[upstream.ID] == permit
	if unused {
		delete(p.permits, upstream.ID)
		p.queue.Permit(upstream, time.Time{})
		p.asking[upstream.ID] = true
	}
	o.mu.Unlock()
	if unused {
		permit.Release()
		o.askAfter(p, upstream, maxAskInterval)
	}
}

// askLater makes askPermits ask again for an upstream after a while.
func (o *Owner) askLater(p *ownedPart, upstream routes.Upstream, err error) {
	wait := maxAskInterval
	if refusal, ok := err.(*ratelimit.Refusal); ok {
		wait = min(max(refusal.RetryAfter-permitWait, minAskInterval), maxAskInterval)
	}
	o.askAfter(p, upstream, wait)
}

// askAfter makes askPermits ask again for an upstream after a time.
func (o *Owner) askAfter(p *ownedPart, upstream routes.Upstream, wait time.Duration) {
	time.AfterFunc(wait, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(p.asking, upstream.ID)
	})
}

// freeWithinLimit sends a call that frees results to an upstream with a limit if one is due, and reports
// whether the results need no other. Results that the upstream has dropped by itself need none. o.mu must
// be held.
func (o *Owner) freeWithinLimit(p *ownedPart, upstream routes.Upstream, pending *pendingFree, now time.Time) bool {
	if now.After(pending.until) {
		p.queue.Free(upstream, pending.bytes)
		return true
	}
	if now.Before(p.nextFree[upstream.ID]) {
		return false
	}
	limit, _ := o.limits.Limit(upstream)
	p.nextFree[upstream.ID] = now.Add(freeInterval(core.Rate(limit)))
	go o.acquireFree(p, upstream, pending)
	return true
}

// freeInterval returns the time between two calls that free results at an upstream with a limit.
func freeInterval(perSecond float64) time.Duration {
	return min(maxFreeInterval, time.Duration(callsPerFree/perSecond*float64(time.Second)))
}

// acquireFree asks for a permit for a call that frees results, and makes the call.
func (o *Owner) acquireFree(p *ownedPart, upstream routes.Upstream, pending *pendingFree) {
	permit, err := o.limits.Acquire(o.lifetime, ratelimit.Request{Service: p.Service, Upstreams: []routes.Upstream{upstream}, Wait: freeTimeout})
	if err != nil {
		o.freeLater(p, upstream, pending)
		return
	}
	o.sendFree(p, upstream, pending, permit)
}

// freeLater keeps results to be freed for a later call.
func (o *Owner) freeLater(p *ownedPart, upstream routes.Upstream, pending *pendingFree) {
	o.mu.Lock()
	defer o.mu.Unlock()
	newer := p.pendingFrees[upstream.Address]
	if newer != nil {
		pending.handles = append(pending.handles, newer.handles...)
		pending.bytes += newer.bytes
		pending.until = later(pending.until, newer.until)
	}
	p.pendingFrees[upstream.Address] = pending
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
