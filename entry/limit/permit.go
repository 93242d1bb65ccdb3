package limit

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/share"
	"acaciawinch/entry/pipeline"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Reasons for refusing a request.
const (
	reasonLimitReached = "the workspace is at its limit of requests in flight"
	reasonShareInUse   = "the number of the workspace's requests in flight is unavailable, and this entry's share of the workspace's limit is in use"
)

// Permit is the permit of one request, requested or already decided.
type Permit struct {
	limiter *Limiter
	request core.RequestID
	bound   int
	start   time.Time
	cancel  context.CancelFunc
	decided chan struct{}
	// refusal is set, if the permit is refused, before decided is closed.
	refusal *pipeline.PermitRefusal

	// The following fields are guarded by the limiter's mu.
	//
	// held is the permit as package core/share knows it, with the home that counts it.
	held share.Held
	// unchecked is set if the request runs without the permit of a home.
	unchecked bool
	// countedBy are the homes that count the permit or may do so.
	countedBy []countingHome
	released  bool
}

// countingHome is a home and the part of the bound in which it counts a permit.
type countingHome struct {
	home share.Home
	part int
}

// Decided implements pipeline.Permit.
func (p *Permit) Decided() <-chan struct{} { return p.decided }

// Refusal implements pipeline.Permit.
func (p *Permit) Refusal() *pipeline.PermitRefusal { return p.refusal }

// Release releases the permit. It may be called before the permit is decided.
func (p *Permit) Release() {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	// Set before the search is canceled, so that search does not take the canceled call
	// for a home that does not respond.
	p.released = true
	p.cancel()
	if _, runs := l.running[p.held.Permit]; runs {
		delete(l.running, p.held.Permit)
		l.client.RequestEnded(p.held.Workspace, p.unchecked)
	}
	p.releaseAtHomes()
}

// releaseAtHomes releases the permit at all homes that may count it. The caller holds mu.
func (p *Permit) releaseAtHomes() {
	for _, c := range p.countedBy {
		go p.limiter.releaseAt(c.home, p.held.Workspace, c.part, p.held.Permit)
	}
	p.countedBy = nil
}

// search requests the permit from one home after the other until it is granted or refused.
func (p *Permit) search(ctx context.Context) {
	l := p.limiter
	l.mu.Lock()
	search, step := l.client.Begin(time.Now(), l.currentHomes(), p.held.Workspace, p.bound, rand.Uint64())
	l.mu.Unlock()
	for step.Kind == share.StepAcquire {
		response, incarnation, err := p.acquire(ctx, step)
		l.mu.Lock()
		switch {
		case p.released:
			p.addCountingHome(step)
			p.releaseAtHomes()
			l.mu.Unlock()
			return
		case err != nil:
			p.recordSilentHome(step, err)
			step = search.Failed(time.Now())
		default:
			l.client.ObserveIncarnation(step.Home.Name, incarnation)
			if response.Granted {
				p.addCountingHome(step)
				p.held.Home, p.held.Incarnation = step.Home.Name, incarnation
			}
			step = search.Responded(time.Now(), response)
		}
		l.mu.Unlock()
	}
	p.decide(step)
}

// acquire requests the permit from the home of a step.
func (p *Permit) acquire(ctx context.Context, step share.Step) (share.AcquireResponse, core.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, share.AcquireTimeout)
	defer cancel()
	return p.limiter.acquireFrom(ctx, step.Home, share.AcquireRequest{
		Workspace: p.held.Workspace,
		Part:      step.Part,
		Bound:     step.Bound,
		Permit:    p.held.Permit,
		TTL:       time.Until(p.held.ExpiresAt),
	})
}

// addCountingHome adds the home of a step to those that count the permit or may do so. The
// caller holds mu.
func (p *Permit) addCountingHome(step share.Step) {
	c := countingHome{home: step.Home, part: step.Part}
	if !slices.Contains(p.countedBy, c) {
		p.countedBy = append(p.countedBy, c)
	}
}

// recordSilentHome records that the home of a step did not respond. The home may count the
// permit nevertheless. The caller holds mu.
func (p *Permit) recordSilentHome(step share.Step, err error) {
	p.addCountingHome(step)
	p.limiter.metrics.silences.Inc(1)
	p.limiter.opts.Log.Event(event.LimitHomeSilent, observe.Fields{
		"request":   p.request,
		"workspace": p.held.Workspace,
		"part":      step.Part,
		"home":      step.Home.Name,
		"addr":      step.Home.Addr,
		"error":     err,
	})
}

// decide applies the final step of a search: the request runs, with the permit of a home
// or unchecked, or is refused.
func (p *Permit) decide(step share.Step) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(p.decided)
	l.metrics.decided(step.Kind, time.Since(p.start))
	switch step.Kind {
	case share.StepRefused:
		p.refuse(reasonLimitReached)
		return
	case share.StepRefusedLocally:
		p.refuse(reasonShareInUse)
		return
	case share.StepGrantedLocally:
		p.unchecked = true
		l.opts.Log.Event(event.LimitUnchecked, p.fields())
	}
	p.held.Part, p.held.Bound = step.Part, step.Bound
	if p.released {
		l.client.RequestEnded(p.held.Workspace, p.unchecked)
		p.releaseAtHomes()
		return
	}
	l.running[p.held.Permit] = p
}

// refuse refuses the request. The caller holds mu.
func (p *Permit) refuse(reason string) {
	p.refusal = &pipeline.PermitRefusal{Detail: reason, RetryAfter: retryAfter}
	fields := p.fields()
	fields["reason"] = reason
	p.limiter.opts.Log.Event(event.LimitRefused, fields)
	p.releaseAtHomes()
}

// fields returns the fields that the events of a permit share.
func (p *Permit) fields() observe.Fields {
	return observe.Fields{
		"request":   p.request,
		"workspace": p.held.Workspace,
		"bound":     p.bound,
		"waited_us": time.Since(p.start).Microseconds(),
	}
}
