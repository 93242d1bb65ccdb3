package ratelimit

import (
	"context"
	"fmt"
	"slices"
	"time"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

const (
	// optionalTimeout bounds the time that a request waits for a permit if it can go to an upstream without a
	// limit.
	optionalTimeout = 100 * time.Millisecond
	// replyTime is the time that a coordinator's decision takes to arrive.
	replyTime = 200 * time.Millisecond
	// maxAsks bounds the asks for one permit: coordinators may be lost, and permits expire on the way.
	maxAsks = 6
	// maxHold bounds the time for which no optional ask is made after a refusal: the limit may rise meanwhile.
	maxHold = time.Second
	// retryAfterUnknown is the Retry-After if no coordinator has decided.
	retryAfterUnknown = time.Second
)

// Request describes a request that needs a permit.
type Request struct {
	// ID is the client's ID of the request, empty for a stage call.
	ID      string
	Service string
	// Upstreams are those with a limit that the request may be sent to.
	Upstreams []routes.Upstream
	// Rank and Value are the priority of the request: the lowest rank first, then the highest value.
	Rank  int
	Value float64
	// Wait is how long the request can wait.
	Wait time.Duration
	// Optional is set if the request can be sent to an upstream without a limit.
	Optional bool
	// Returns is set if the client of a refused request comes back.
	Returns bool
	// Preview is set to ask only whether the permit would be granted in time.
	Preview bool
}

// Refusal is the error for a request that gets no permit. The request was not sent.
type Refusal struct {
	Service string
	// Coordinator is the name of the gateway that decided, empty if none did.
	Coordinator string
	// Ahead is the number of requests that go first.
	Ahead int
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Coordinator == "" {
		return "no coordinator of the limits of " + r.Service + " responded in time"
	}
	return fmt.Sprintf("the upstreams of %s have limits that are used up; %s has %d requests ahead of this one", r.Service, r.Coordinator, r.Ahead)
}

// openAsk is an ask without a decision.
type openAsk struct {
	service string
	// to is the incarnation of the coordinator.
	to      string
	outcome chan outcome
}

// outcome is what became of an ask.
type outcome struct {
	decision core.Decision
	// grantedAt is a lower bound of the time of the decision, if dated is set.
	grantedAt time.Duration
	dated     bool
	// lost is set if the coordinator was lost before its decision.
	lost bool
}

// Permit allows one request to an upstream with a limit. It is not safe for concurrent use.
type Permit struct {
	// Upstream is the upstream that the request may be sent to.
	Upstream routes.Upstream

	limiter *Limiter
	request string
	number  uint64
	// to is the incarnation of the coordinator that granted it, and grantedAt the time by which it had.
	to        string
	grantedAt time.Duration
	used      bool
}

// Acquire gets a permit for one of the upstreams of a request. It waits as long as the request can, and
// returns a *Refusal if there is none in time, or the error of ctx. A Permit must be released. With Preview
// set it returns no Permit.
func (l *Limiter) Acquire(ctx context.Context, r Request) (*Permit, error) {
	until := clock.Boot() + r.Wait
	if r.Optional {
		if l.isHeld(r) {
			return nil, &Refusal{Service: r.Service, RetryAfter: maxHold}
		}
		r.Wait = 0
	}
	for range maxAsks {
		name, number, ask := l.submit(r)
		result, err := l.await(ctx, r, number, ask)
		if err != nil {
			return nil, err
		}
		if result.lost {
			r.Wait = max(0, min(r.Wait, until-clock.Boot()))
			continue
		}
		if !result.decision.Granted {
			return nil, l.refused(r, name, result.decision)
		}
		if permit := l.granted(r, name, number, ask.to, result); permit != nil || r.Preview {
			return permit, nil
		}
	}
	return nil, l.refused(r, "", core.Decision{RetryAfter: retryAfterUnknown})
}

// isHeld reports whether none of the upstreams of an optional request had a permit to spare a moment ago.
func (l *Limiter) isHeld(r Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Boot()
	return !slices.ContainsFunc(r.Upstreams, func(upstream routes.Upstream) bool { return now >= l.notBefore[keyOf(upstream)] })
}

// submit sends an ask to the coordinator of its service, and returns the coordinator's name.
func (l *Limiter) submit(r Request) (name string, number uint64, ask *openAsk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	coordinator := l.choose(r.Service)
	l.lastAsk++
	ask = &openAsk{service: r.Service, to: coordinator.Incarnation, outcome: make(chan outcome, 1)}
	l.asks[l.lastAsk] = ask
	message := core.Ask{Ticket: core.Ticket{Gateway: localSession, Number: l.lastAsk}, Service: r.Service, Rank: r.Rank, Value: r.Value,
		Wait: r.Wait, Optional: r.Optional, Returns: r.Returns, Preview: r.Preview}
	for _, upstream := range r.Upstreams {
		message.Upstreams = append(message.Upstreams, l.table.Entry(keyOf(upstream), coordinator.Incarnation))
	}
	if coordinator.Incarnation == l.options.Self.Incarnation {
		l.handleAsk(message)
		return coordinator.Name, l.lastAsk, ask
	}
	to := l.link(coordinator)
	if to == nil || !to.enqueue(askMessage(message)) {
		l.decided(l.lastAsk, ask.to, outcome{lost: true})
		return coordinator.Name, l.lastAsk, ask
	}
	to.usedAt = clock.Boot()
	return coordinator.Name, l.lastAsk, ask
}

// await waits for the decision on an ask.
func (l *Limiter) await(ctx context.Context, r Request, number uint64, ask *openAsk) (outcome, error) {
	limit := r.Wait + replyTime
	if r.Optional {
		limit = optionalTimeout
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-ask.outcome:
		return result, nil
	case <-timer.C:
		l.cancel(number, ask)
		return outcome{decision: core.Decision{RetryAfter: retryAfterUnknown}}, nil
	case <-ctx.Done():
		l.cancel(number, ask)
		return outcome{}, ctx.Err()
	}
}

// decided passes the outcome of an ask on. A permit that nobody waits for is returned. l.mu must be held.
func (l *Limiter) decided(number uint64, from string, result outcome) {
	ask := l.asks[number]
	if ask == nil || ask.to != from {
		return // it was cancelled; the coordinator takes the permit back when it hears of that
	}
	delete(l.asks, number)
	ask.outcome <- result
}

// cancel drops an ask that nobody waits for any more.
func (l *Limiter) cancel(number uint64, ask *openAsk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asks, number)
	l.withdraw(clock.Boot(), number, ask)
}

// withdraw tells the coordinator that nobody waits for an ask any more. l.mu must be held.
func (l *Limiter) withdraw(now time.Duration, number uint64, ask *openAsk) {
	if ask.to == l.options.Self.Incarnation {
		l.coordinator.Cancel(now, core.Ticket{Gateway: localSession, Number: number})
		return
	}
	if to := l.links[ask.to]; to != nil {
		to.enqueue(&wirepb.RateLimitRequest{Kind: &wirepb.RateLimitRequest_Cancel{Cancel: number}})
	}
}

// granted returns the Permit for a decision, nil if it has expired on the way.
func (l *Limiter) granted(r Request, coordinator string, number uint64, to string, result outcome) *Permit {
	entry := result.decision.Entry
	index := slices.IndexFunc(r.Upstreams, func(upstream routes.Upstream) bool { return keyOf(upstream) == entry.Upstream })
	if index < 0 || r.Preview {
		return nil
	}
	permit := &Permit{Upstream: r.Upstreams[index], limiter: l, request: r.ID, number: number, to: to, grantedAt: result.grantedAt}
	l.learnEntry(to, r, entry)
	outcomeText := "granted"
	if !result.dated || clock.Boot()-result.grantedAt >= core.PermitTTL {
		outcomeText = "expired"
		l.metrics.expired.Inc(1)
		permit.Release()
		permit = nil
	} else {
		l.metrics.granted.Inc(1)
	}
	l.logPermit(r, outcomeText, coordinator, result.decision)
	return permit
}

// learnEntry takes the limit that came with a permit.
func (l *Limiter) learnEntry(coordinator string, r Request, entry core.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Boot()
	if l.table.Noticed(now, coordinator, entry) {
		l.logNoticed(r.Service, coordinator, entry)
		l.recordChange(now, entry.Upstream, r.Service)
	}
}

// refused returns the Refusal for a decision.
func (l *Limiter) refused(r Request, coordinator string, decision core.Decision) *Refusal {
	l.metrics.refused.Inc(1)
	if r.Optional {
		l.hold(r, decision.RetryAfter)
	}
	l.logPermit(r, "refused", coordinator, decision)
	return &Refusal{Service: r.Service, Coordinator: coordinator, Ahead: decision.Ahead, RetryAfter: decision.RetryAfter}
}

// hold makes optional requests skip the upstreams of one that was refused for a while.
func (l *Limiter) hold(r Request, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := clock.Boot() + min(wait, maxHold)
	for _, upstream := range r.Upstreams {
		l.notBefore[keyOf(upstream)] = until
	}
}

// logPermit logs the decision on a request.
func (l *Limiter) logPermit(r Request, outcomeText, coordinator string, decision core.Decision) {
	key := decision.Entry.Upstream
	if !decision.Granted && len(r.Upstreams) > 0 {
		key = keyOf(r.Upstreams[0])
	}
	l.mu.Lock()
	perSecond, _ := l.table.Limit(key)
	learned, known := l.learnedAt[key]
	l.mu.Unlock()
	age := int64(-1)
	if known {
		age = (clock.Boot() - learned).Milliseconds()
	}
	l.options.Logger.Event(event.RateLimitPermit, observe.Fields{"request": r.ID, "service": r.Service, "outcome": outcomeText, "upstream": key.ID, "per_second": perSecond, "limit_age_ms": age,
		"coordinator": coordinator, "waited_ms": decision.Waited.Milliseconds(), "ahead": decision.Ahead, "optional": r.Optional, "retry_after_ms": decision.RetryAfter.Milliseconds()})
}

// Release returns the permit if it was not used. A nil Permit may be released.
func (p *Permit) Release() {
	if p == nil || p.used {
		return
	}
	p.used = true
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.metrics.unused.Inc(1)
	if p.to == l.options.Self.Incarnation {
		now := clock.Boot()
		l.coordinator.Unused(now, core.Ticket{Gateway: localSession, Number: p.number})
		l.advanceLocked(now)
		return
	}
	if to := l.links[p.to]; to != nil {
		to.enqueue(&wirepb.RateLimitRequest{Kind: &wirepb.RateLimitRequest_Unused{Unused: p.number}})
	}
}

// MaySend reports whether a request may be written to an upstream now, and uses its permit up. A request
// without one may be written if no limit of the upstream is known. It must be the last check before the
// request is written.
func (l *Limiter) MaySend(upstream routes.Upstream, permit *Permit, request string) bool {
	perSecond, limited := l.Limit(upstream)
	now := clock.Boot()
	var age time.Duration
	if permit != nil && !permit.used {
		age = now - permit.grantedAt
		if permit.Upstream.ID == upstream.ID && age < core.PermitTTL {
			permit.used = true
			l.metrics.sends.Inc(1)
			return true
		}
	}
	if !limited {
		return true
	}
	l.metrics.withheld.Inc(1)
	l.options.Logger.Event(event.RateLimitWithheld, observe.Fields{"request": request, "upstream": upstream.ID, "per_second": perSecond, "permit_age_ms": age.Milliseconds()})
	return false
}
