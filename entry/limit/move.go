package limit

import (
	"context"
	"time"

	"acaciawinch/core/share"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// homeChange is a permit that another home should count, that home and the request to it.
type homeChange struct {
	permit  *Permit
	home    share.Home
	request share.AcquireRequest
}

// changeHomes makes the homes that the current host list gives the running requests count
// them.
func (l *Limiter) changeHomes(ctx context.Context) {
	for _, change := range l.homeChanges() {
		l.changeHome(ctx, change)
	}
}

// homeChanges returns the permits that another home than the current one should count.
func (l *Limiter) homeChanges() []homeChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	homes := l.currentHomes()
	var changes []homeChange
	for _, p := range l.running {
		if home, request, due := l.client.Reassign(time.Now(), homes, p.held); due {
			changes = append(changes, homeChange{permit: p, home: home, request: request})
		}
	}
	return changes
}

// changeHome makes the new home of a change count the running request. If that home does
// not respond, the permit keeps its previous one.
func (l *Limiter) changeHome(ctx context.Context, change homeChange) {
	ctx, cancel := context.WithTimeout(ctx, share.AcquireTimeout)
	defer cancel()
	_, incarnation, err := l.acquireFrom(ctx, change.home, change.request)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := change.permit
	p.addCountingHome(share.Step{Home: change.home, Part: change.request.Part})
	if p.released {
		p.releaseAtHomes()
		return
	}
	if err != nil {
		l.client.HomeFailed(time.Now(), l.currentHomes(), change.home)
		l.metrics.silences.Inc(1)
		return
	}
	l.client.ObserveIncarnation(change.home.Name, incarnation)
	before := p.held.Home
	p.held.Home, p.held.Incarnation = change.home.Name, incarnation
	l.metrics.homeChanges.Inc(1)
	l.opts.Log.Event(event.LimitHomeChanged, observe.Fields{
		"request":   p.request,
		"workspace": p.held.Workspace,
		"part":      p.held.Part,
		"home":      change.home.Name,
		"before":    before,
	})
}
