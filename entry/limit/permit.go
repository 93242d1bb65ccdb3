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

// Why a request is refused.
const (
	reasonFull  = "the workspace holds as many requests as it may"
	reasonAlone = "nobody tells how many requests the workspace holds, and this entry's part of its bound is in use"
)

// Permit is the permit of one request, asked for or decided.
type Permit struct {
	limiter *Limiter
	request core.RequestID
	bound   int
	began   time.Time
	cancel  context.CancelFunc
	decided chan struct{}
	// refusal is set before decided is closed.
	refusal *pipeline.PermitRefusal

	// The limiter's mu guards the following.
	held  share.Held
	alone bool
	// counting are the homes that count the permit or may do so.
	counting []counter
	released bool
}

// counter is a home with the part of which it counts a permit.
type counter struct {
	home share.Home
	part int
}

// Decided implements pipeline.Permit.
func (p *Permit) Decided() <-chan struct{} { return p.decided }

// Refusal implements pipeline.Permit.
func (p *Permit) Refusal() *pipeline.PermitRefusal { return p.refusal }

// Release gives the permit back, also while it is being asked for.
func (p *Permit) Release() {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	// Set before the search is broken off, which is no silence of its home.
	p.released = true
	p.cancel()
	if _, runs := l.held[p.held.Permit]; runs {
		delete(l.held, p.held.Permit)
		l.asker.Ended(p.held.Workspace, p.alone)
	}
	p.giveBack()
}

// giveBack tells the homes that count the permit. The caller holds mu.
func (p *Permit) giveBack() {
	for _, c := range p.counting {
		go p.limiter.release(c.home, p.held.Workspace, c.part, p.held.Permit)
	}
	p.counting = nil
}

// search asks one home after the other until the permit is granted or refused.
func (p *Permit) search(ctx context.Context) {
	l := p.limiter
	l.mu.Lock()
	search, step := l.asker.Begin(time.Now(), l.currentHomes(), p.held.Workspace, p.bound, rand.Uint64())
	l.mu.Unlock()
	for step.Kind == share.StepAsk {
		answer, incarnation, err := p.ask(ctx, step)
		l.mu.Lock()
		switch {
		case p.released:
			p.count(step)
			p.giveBack()
			l.mu.Unlock()
			return
		case err != nil:
			p.silent(step, err)
			step = search.Silent(time.Now())
		default:
			l.asker.Heard(step.Home.Name, incarnation)
			if answer.Granted {
				p.count(step)
				p.held.Home, p.held.Incarnation = step.Home.Name, incarnation
			}
			step = search.Answered(time.Now(), answer)
		}
		l.mu.Unlock()
	}
	p.decide(step)
}

// ask asks the home of a step.
func (p *Permit) ask(ctx context.Context, step share.Step) (share.Answer, core.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, share.AskTimeout)
	defer cancel()
	return p.limiter.ask(ctx, step.Home, share.Ask{
		Workspace: p.held.Workspace,
		Part:      step.Part,
		Bound:     step.Bound,
		Permit:    p.held.Permit,
		Life:      time.Until(p.held.End),
	})
}

// count notes that a home counts the permit, or may do so. The caller holds mu.
func (p *Permit) count(step share.Step) {
	c := counter{home: step.Home, part: step.Part}
	if !slices.Contains(p.counting, c) {
		p.counting = append(p.counting, c)
	}
}

// silent notes that a home did not answer. The caller holds mu.
func (p *Permit) silent(step share.Step, err error) {
	p.count(step)
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

// decide closes the search.
func (p *Permit) decide(step share.Step) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(p.decided)
	l.metrics.decided(step.Kind, time.Since(p.began))
	switch step.Kind {
	case share.StepRefused:
		p.refuse(reasonFull)
		return
	case share.StepRefusedAlone:
		p.refuse(reasonAlone)
		return
	case share.StepAlone:
		p.alone = true
		l.opts.Log.Event(event.LimitUnchecked, p.fields())
	}
	p.held.Part, p.held.Bound = step.Part, step.Bound
	if p.released {
		l.asker.Ended(p.held.Workspace, p.alone)
		p.giveBack()
		return
	}
	l.held[p.held.Permit] = p
}

// refuse refuses the request. The caller holds mu.
func (p *Permit) refuse(reason string) {
	p.refusal = &pipeline.PermitRefusal{Detail: reason, RetryAfter: retryAfter}
	fields := p.fields()
	fields["reason"] = reason
	p.limiter.opts.Log.Event(event.LimitRefused, fields)
	p.giveBack()
}

// fields are those of each event of a permit.
func (p *Permit) fields() observe.Fields {
	return observe.Fields{
		"request":   p.request,
		"workspace": p.held.Workspace,
		"bound":     p.bound,
		"waited_us": time.Since(p.began).Microseconds(),
	}
}
