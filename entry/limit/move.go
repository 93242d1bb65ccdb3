package limit

import (
	"context"
	"time"

	"acaciawinch/core/share"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// move is a permit that another home should count, with the request to that home.
type move struct {
	permit  *Permit
	home    share.Home
	request share.AcquireRequest
}

// moveAll makes the right homes count the running requests.
func (l *Limiter) moveAll(ctx context.Context) {
	for _, m := range l.moves() {
		l.changeHome(ctx, m)
	}
}

// moves returns the permits that another home than the current one should count.
func (l *Limiter) moves() []move {
	l.mu.Lock()
	defer l.mu.Unlock()
	homes := l.currentHomes()
	var moves []move
	for _, p := range l.running {
		if home, request, due := l.client.Reassign(time.Now(), homes, p.held); due {
			moves = append(moves, move{permit: p, home: home, request: request})
		}
	}
	return moves
}

// changeHome makes a home count a running request. If the home does not respond, the
// permit keeps its previous home.
func (l *Limiter) changeHome(ctx context.Context, m move) {
	ctx, cancel := context.WithTimeout(ctx, share.AcquireTimeout)
	defer cancel()
	_, incarnation, err := l.acquireFrom(ctx, m.home, m.request)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := m.permit
	p.noteCounted(share.Step{Home: m.home, Part: m.request.Part})
	if p.released {
		p.releaseAtHomes()
		return
	}
	if err != nil {
		l.client.HomeFailed(time.Now(), l.currentHomes(), m.home)
		l.metrics.silences.Inc(1)
		return
	}
	l.client.ObserveIncarnation(m.home.Name, incarnation)
	before := p.held.Home
	p.held.Home, p.held.Incarnation = m.home.Name, incarnation
	l.metrics.moves.Inc(1)
	l.opts.Log.Event(event.LimitHomeChanged, observe.Fields{
		"request":   p.request,
		"workspace": p.held.Workspace,
		"part":      p.held.Part,
		"home":      m.home.Name,
		"before":    before,
	})
}
