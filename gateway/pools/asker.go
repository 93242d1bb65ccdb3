package pools

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/rendezvous"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/link"
)

// suspectFor is how long an owner that fell silent is passed over: long enough that
// a dead one costs one wait in many tasks, short enough that one that is back owns
// its pools again soon.
const suspectFor = 3 * time.Second

// Asker gives tasks to the owners of pools. It may be used by many goroutines.
type Asker struct {
	view   *view.View
	self   string
	dialer *link.Dialer
	logger *observe.Logger
	local  *Session
	life   context.Context

	mu    sync.Mutex
	links map[string]*ownerLink
	// suspects holds until when an owner is passed over, by its incarnation.
	suspects map[string]time.Time
	// leaving is set at a planned stop: others own the pools then.
	leaving bool
	waits   map[string]time.Duration
	number  uint64
}

// NewAsker returns an Asker of the process with the name self, whose own Owner is
// owner. Its links end with life.
func NewAsker(life context.Context, v *view.View, self string, owner *Owner, dialer *link.Dialer, logger *observe.Logger) *Asker {
	return &Asker{
		view:     v,
		self:     self,
		dialer:   dialer,
		logger:   logger,
		local:    owner.Session(true),
		life:     life,
		links:    make(map[string]*ownerLink),
		suspects: make(map[string]time.Time),
		waits:    make(map[string]time.Duration),
	}
}

// maxOwners bounds the owners that one task is given to.
const maxOwners = 3

// Do gives a task to the owner of its pool and waits for its end. When the owner
// falls silent the task goes to the next one. Begun is called when the task's inputs
// have been read, and must return at once. Do returns who answered; the error is that
// of ctx.
func (a *Asker) Do(ctx context.Context, task Task, begun func()) (Result, string, error) {
	began := time.Now()
	whole := task
	var result Result
	var owner string
	for range maxOwners {
		passed := time.Since(began)
		task.Remaining, task.Due = whole.Remaining-passed, whole.Due-passed
		var err error
		result, owner, err = a.once(ctx, task, begun)
		if err != nil || result.Failure != OwnerLost && result.Failure != OwnerLeft {
			return result, owner, err
		}
	}
	return result, owner, nil
}

// Leave gives this process's tasks to other owners from now on, if there are any.
func (a *Asker) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// once gives a task to the owner as it is known now.
func (a *Asker) once(ctx context.Context, task Task, begun func()) (Result, string, error) {
	owner := a.owner(task.Service, time.Now())
	results := make(chan Result, 1)
	number := a.next()
	notify := Notify{Begun: begun, Done: func(r Result) { results <- r }}
	var cancel func()
	if owner.Name == a.self {
		a.local.Submit(number, task, notify)
		cancel = func() { a.local.Cancel(number) }
	} else {
		to := a.link(owner)
		to.submit(number, task, notify)
		cancel = func() { to.cancel(number) }
	}
	select {
	case result := <-results:
		a.learn(task.Service, result.Wait)
		if result.Failure == OwnerLeft {
			a.suspect(owner)
		}
		return result, owner.Name, nil
	case <-ctx.Done():
		cancel()
		return Result{}, owner.Name, fault.Wrap(fault.Cancelled, "stage.wait", owner.Name, ctx.Err())
	}
}

// Free gives results of a service back to its owner.
func (a *Asker) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	owner := a.owner(service, time.Now())
	if owner.Name == a.self {
		a.local.Free(service, handles)
		return
	}
	a.link(owner).free(service, handles)
}

// learn records an owner's estimate of the wait at a service.
func (a *Asker) learn(service string, wait time.Duration) {
	if wait <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits[service] = wait
}

// Wait returns the last estimate of the time that a stage at a service takes; 0 if
// there is none yet.
func (a *Asker) Wait(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waits[service]
}

// next returns a new number for a task.
func (a *Asker) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.number++
	return a.number
}

// owner returns the owner of a service's pool: of the members that are not under
// suspicion, this process among them, the one with the highest score. This process is
// taken if there is no other.
func (a *Asker) owner(service string, now time.Time) view.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := hash(service)
	best := view.Member{Name: a.self}
	var highest uint64
	if !a.leaving {
		highest = rendezvous.Score(key, hash(a.self))
	}
	for _, member := range a.view.Members() {
		if now.Before(a.suspects[member.Incarnation]) {
			continue
		}
		if score := rendezvous.Score(key, hash(member.Name)); score > highest {
			best, highest = member, score
		}
	}
	return best
}

// hash returns the hash of a name.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails to write
	return h.Sum64()
}

// link returns the open link to an owner, or a new one.
func (a *Asker) link(owner view.Member) *ownerLink {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.links[owner.Name]; l != nil && l.incarnation == owner.Incarnation {
		return l
	}
	l := newOwnerLink(a, owner)
	a.links[owner.Name] = l
	go l.run(a.life)
	return l
}

// suspect passes over an owner for a while.
func (a *Asker) suspect(owner view.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for incarnation, until := range a.suspects {
		if now.After(until) {
			delete(a.suspects, incarnation)
		}
	}
	a.suspects[owner.Incarnation] = now.Add(suspectFor)
}

// lost removes a link that broke and passes over its owner for a while.
func (a *Asker) lost(l *ownerLink, tasks int, err error) {
	a.mu.Lock()
	if a.links[l.owner.Name] == l {
		delete(a.links, l.owner.Name)
	}
	a.mu.Unlock()
	a.suspect(l.owner)
	a.logger.Warn(event.PoolOwnerLost, observe.Fields{"owner": l.owner.Name, "tasks": tasks, "error": err.Error()})
}
