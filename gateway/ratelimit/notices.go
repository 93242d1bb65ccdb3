package ratelimit

import (
	"context"
	"time"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

const (
	// noticeTimeout bounds one notice to one gateway; the next reminder repeats it.
	noticeTimeout = time.Second
	// maxNotices bounds the notices that are on the way at the same time.
	maxNotices = 16
)

// notify tells all gateways the limits of a service that this process knows as its coordinator. l.mu must
// be held.
func (l *Limiter) notify(service string) { l.tell(service, func(view.Member) bool { return true }) }

// remind tells the limits to the gateways that have no vote here: they may not know of them, as one that has
// just started. A limit that has ended is told again to all: a notice does not overrule a response that
// may be newer. l.mu must be held.
func (l *Limiter) remind(now time.Duration) {
	for _, service := range l.coordinator.Services() {
		if l.coordinator.Votes(now, service) == 0 {
			continue // another gateway is the coordinator now
		}
		ended := l.coordinator.HasEnded(service)
		l.tell(service, func(member view.Member) bool { return ended || !l.coordinator.HasVote(service, member.Name) })
	}
}

// tell sends the limits of a service to the matching gateways, and takes them itself. l.mu must be held.
func (l *Limiter) tell(service string, match func(view.Member) bool) {
	entries := l.coordinator.Entries(service)
	l.take(service, l.options.Self.Incarnation, entries)
	notice := &wirepb.RateLimitNotice{Service: service, Coordinator: l.options.Self.Name, Incarnation: l.options.Self.Incarnation, Entries: entryMessages(entries)}
	for _, member := range l.members {
		if match(member) {
			go l.send(member, notice)
		}
	}
}

// send sends a notice to a gateway. One that gets none is reminded later.
func (l *Limiter) send(to view.Member, notice *wirepb.RateLimitNotice) {
	ctx, cancel := context.WithTimeout(l.options.Lifetime, noticeTimeout)
	defer cancel()
	select {
	case l.noticeSlots <- struct{}{}:
		defer func() { <-l.noticeSlots }()
	case <-ctx.Done():
		return
	}
	_, err := wirepb.NewDRPCRateLimitClient(l.options.Dialer.Conn(ctx, to.Address)).Notice(ctx, notice)
	if err != nil {
		l.options.Logger.Warn(event.RateLimitNoticeLost, observe.Fields{"service": notice.GetService(), "peer": to.Name, "error": err.Error()})
	}
}

// noticed takes the limits of a service that a coordinator knows.
func (l *Limiter) noticed(service, coordinator string, entries []core.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(service, coordinator, entries)
}

// take takes the limits of a service that a coordinator knows. l.mu must be held.
func (l *Limiter) take(service, coordinator string, entries []core.Entry) {
	now := clock.Boot()
	for _, entry := range entries {
		if l.table.Noticed(now, coordinator, entry) {
			l.logNoticed(service, coordinator, entry)
			l.recordChange(now, entry.Upstream, service)
		}
	}
}

// logNoticed logs a limit that a coordinator has told.
func (l *Limiter) logNoticed(service, coordinator string, entry core.Entry) {
	l.options.Logger.Event(event.RateLimitChanged, observe.Fields{"upstream": entry.Upstream.ID, "born": entry.Upstream.Incarnation, "service": service, "ended": !entry.Named.Limited,
		"per_second": entry.Named.PerSecond, "before": nil, "source": "notice", "request": "", "coordinator": coordinator, "version": entry.Version})
}
