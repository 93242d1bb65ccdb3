package pools

import (
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/comeback"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/pool"
	"acaciawinch/core/retryafter"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// placeCounters count what became of the places of refused clients, and the tasks that went behind
// others because of their workspaces' shares.
type placeCounters struct {
	kept, used, dropped, expired, passedOver tally.Counter
}

// KeepPlaces makes the owner keep the places of refused clients and share full pools between workspaces.
// It must be called before tasks are submitted.
func (o *Owner) KeepPlaces(scope tally.Scope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placeCounters = &placeCounters{
		kept:       scope.Counter("places_kept"),
		used:       scope.Counter("places_used"),
		dropped:    scope.Counter("places_dropped"),
		expired:    scope.Counter("places_expired"),
		passedOver: scope.Counter("tasks_passed_over"),
	}
}

// preparePlaces prepares a new part for places and shares.
func (o *Owner) preparePlaces(p *ownedPart) {
	if o.placeCounters == nil {
		return
	}
	p.places = comeback.New()
	p.queue.ShareBetweenWorkspaces()
}

// placeKey returns the key of a task's place, and whether it can have one. Only a first stage has: the
// client of a later one has results, and returns without them.
func placeKey(task Task) (fingerprint.Fingerprint, bool) {
	var key fingerprint.Fingerprint
	if len(task.Fingerprint) != len(key) || len(task.Inputs) > 0 {
		return key, false
	}
	copy(key[:], task.Fingerprint)
	key[len(key)-1] ^= byte(task.Stage) // a request may have two first stages at one pool
	return key, true
}

// keepPlace keeps the place of a task that is refused as late. If the owner expects room for it, its items
// are reserved until the client returns. A client that has returned to its place gets no other one. o.mu
// must be held.
func (o *Owner) keepPlace(p *ownedPart, task *openTask, result Result, now time.Time) {
	key, ok := placeKey(task.Task)
	if p.places == nil || !ok || result.Failure != Late || task.hadPlace || !now.Before(task.endsAt) {
		return
	}
	remaining := task.endsAt.Sub(now)
	dropped := p.places.Refused(key, now, task.endsAt)
	if result.RetryAfter > 0 {
		p.places.Reserve(key, task.Items, now.Add(min(result.RetryAfter, retryafter.Honoured(remaining))))
		p.queue.AddReserved(task.Items) // others that are refused now are told later times
	}
	o.placeCounters.kept.Inc(1)
	if dropped {
		o.placeCounters.dropped.Inc(1)
	}
	o.logger.Event(event.PoolPlaceKept, observe.Fields{"service": p.Service, "request": task.Request, "workspace": task.Workspace, "items": task.Items,
		"retry_after_ms": result.RetryAfter.Milliseconds(), "ends_ms": remaining.Milliseconds(), "places": p.places.Len(), "dropped": dropped})
}

// takePlace returns a task to the place of its client, if there is one. o.mu must be held.
func (o *Owner) takePlace(p *ownedPart, task *openTask, now time.Time) {
	key, ok := placeKey(task.Task)
	if p.places == nil || !ok {
		return
	}
	arrived, told, known := p.places.Take(key, now)
	if !known {
		return
	}
	task.hadPlace, task.queued.Promised = true, told
	o.placeCounters.used.Inc(1)
	o.logger.Event(event.PoolPlaceUsed, observe.Fields{"service": p.Service, "request": task.Request, "workspace": task.Workspace,
		"since_ms": now.Sub(arrived).Milliseconds(), "told": told, "due_ms": task.Due.Milliseconds(),
		"remaining_ms": task.queued.Deadline.Sub(now).Milliseconds(), "places": p.places.Len()})
}

// refreshPlaces drops places that have ended, and tells the queue how much work is reserved. o.mu must
// be held.
func (o *Owner) refreshPlaces(p *ownedPart, now time.Time) {
	if p.places == nil {
		return
	}
	o.placeCounters.expired.Inc(int64(p.places.Expire(now)))
	p.queue.SetReserved(p.places.Reserved(now))
	o.reportPassedOver(p, p.queue.TakePassedOver())
}

// reportPassedOver logs and counts the tasks that went behind others because of their workspaces' shares.
func (o *Owner) reportPassedOver(p *ownedPart, tickets []pool.Ticket) {
	for _, ticket := range tickets {
		o.placeCounters.passedOver.Inc(1)
		if task := p.tasks[ticket]; task != nil {
			o.logger.Event(event.PoolPassedOver, observe.Fields{"service": p.Service, "request": task.Request, "workspace": task.Workspace, "waiting": p.queue.Waiting()})
		}
	}
}
