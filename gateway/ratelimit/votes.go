package ratelimit

import (
	"context"
	"slices"
	"time"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Timing of the votes.
const (
	// stallThreshold is the time between two rounds of votes after which this process counts as stalled
	// itself: what the coordinators sent may still be waiting to be read.
	stallThreshold = 2 * core.VoteInterval
	// noticeInterval is how often the gateways that have no vote here are told of the limits.
	noticeInterval = 2 * time.Second
)

// Run renews this process's votes while limits are known, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(core.VoteInterval)
	defer ticker.Stop()
	defer l.advanceTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.wake:
		}
		if l.active.Load() {
			l.round(clock.Boot())
		}
	}
}

// round drops what has expired, gives the votes and looks for links that have gone silent.
func (l *Limiter) round(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stalled := now-l.lastTick > stallThreshold
	l.lastTick = now
	l.expire(now)
	l.vote(now)
	l.moveAsks(now)
	l.dropSilentLinks(now, stalled)
	l.logVotes(now)
	if now-l.lastNotice >= noticeInterval {
		l.lastNotice = now
		l.remind(now)
	}
	l.advanceLocked(now)
	l.active.Store(!l.table.Empty() || len(l.coordinator.Services()) > 0 || len(l.links) > 0)
}

// expire drops the limits of upstreams that have ended. l.mu must be held.
func (l *Limiter) expire(now time.Duration) {
	upstreams := l.options.Fleet.Upstreams()
	if upstreams == nil {
		return
	}
	listed := func(key core.Upstream) bool {
		upstream, known := upstreams.Find(key.ID)
		return known && upstream.Incarnation == key.Incarnation
	}
	l.table.Expire(now, listed)
	for key := range l.serviceOf {
		if _, limited := l.table.Limit(key); !limited {
			delete(l.serviceOf, key)
			delete(l.learnedAt, key)
			delete(l.notBefore, key)
		}
	}
	l.publish()
	for _, service := range l.coordinator.Services() {
		l.coordinator.Keep(service, listed)
	}
}

// limitedServices returns the services with known limits. l.mu must be held.
func (l *Limiter) limitedServices() map[string]bool {
	services := make(map[string]bool)
	for _, service := range l.serviceOf {
		services[service] = true
	}
	return services
}

// vote gives this process's vote on each limited service to its coordinator, withdraws the others, and tries
// coordinators that did not respond. l.mu must be held.
func (l *Limiter) vote(now time.Duration) {
	votes := make(map[string][]string)
	for service := range l.limitedServices() {
		coordinator := l.choose(service)
		voter := l.voters[service]
		if voter == nil {
			voter = &core.Voter{}
			l.voters[service] = voter
		}
		if voter.Vote(now, coordinator.Incarnation) {
			votes[coordinator.Incarnation] = append(votes[coordinator.Incarnation], service)
		}
		if coordinator.Incarnation != l.options.Self.Incarnation {
			l.link(coordinator)
		}
		if silent, due := l.candidates.Probe(now, service); due && silent.Incarnation != l.options.Self.Incarnation {
			l.link(silent)
		}
	}
	self := l.options.Self.Incarnation
	for _, service := range votes[self] {
		if l.coordinator.Learn(now, service, l.entriesOf(service, self)) {
			l.notify(service)
		}
	}
	l.coordinator.Vote(now, l.options.Self.Name, votes[self])
	for service, voter := range l.voters {
		if !slices.Contains(votes[self], service) {
			voter.Released(self)
		}
	}
	for incarnation, to := range l.links {
		if len(votes[incarnation]) == 0 && now-to.usedAt > linkIdleTime {
			to.close()
			delete(l.links, incarnation)
			continue
		}
		to.vote(now, votes[incarnation])
	}
}

// moveAsks gives back the open asks of coordinators that were replaced: these have no vote of this process any
// more. l.mu must be held.
func (l *Limiter) moveAsks(now time.Duration) {
	for number, ask := range l.asks {
		if l.choose(ask.service).Incarnation != ask.to {
			l.withdraw(now, number, ask)
			l.decided(number, ask.to, outcome{lost: true})
		}
	}
}

// logVotes logs changes of the number of votes that this process holds. l.mu must be held.
func (l *Limiter) logVotes(now time.Duration) {
	for _, service := range l.coordinator.Services() {
		votes := l.coordinator.Votes(now, service)
		if before := l.heldVotes[service]; before != votes {
			l.heldVotes[service] = votes
			l.metrics.votes(service, votes)
			l.options.Logger.Event(event.RateLimitVotes, observe.Fields{"service": service, "votes": votes, "before": before, "gateways": l.candidates.Count()})
		}
	}
}
