package pools

import (
	"context"
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
	self   view.Member
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
	waits   *waits
	number  uint64
}

// NewAsker returns an Asker of the process self, whose own Owner is owner. Its links end
// with life.
func NewAsker(life context.Context, v *view.View, self view.Member, owner *Owner, dialer *link.Dialer, logger *observe.Logger) *Asker {
	return &Asker{
		view:     v,
		self:     self,
		dialer:   dialer,
		logger:   logger,
		local:    owner.Session(true),
		life:     life,
		links:    make(map[string]*ownerLink),
		suspects: make(map[string]time.Time),
		waits:    newWaits(),
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
	task.Part = a.part(task)
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
	owner := a.owner(task.Part, time.Now())
	results := make(chan Result, 1)
	number := a.next()
	notify := Notify{Begun: begun, Done: func(r Result) { results <- r }}
	var cancel func()
	if owner.Name == a.self.Name {
		a.local.Submit(number, task, notify)
		cancel = func() { a.local.Cancel(number) }
	} else {
		to := a.link(owner)
		to.submit(number, task, notify)
		cancel = func() { to.cancel(number) }
	}
	select {
	case result := <-results:
		a.learn(task, result)
		if result.Failure == OwnerLeft {
			a.suspect(owner)
		}
		return result, owner.Name, nil
	case <-ctx.Done():
		cancel()
		return Result{}, owner.Name, fault.Wrap(fault.Cancelled, "stage.wait", owner.Name, ctx.Err())
	}
}

// Free gives results of a service back to their owners.
func (a *Asker) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	for part, own := range byPart(a.view.Upstreams(), service, handles) {
		owner := a.owner(part, time.Now())
		if owner.Name == a.self.Name {
			a.local.Free(part, own)
			continue
		}
		a.link(owner).free(part, own)
	}
}

// part returns the part of a pool that is to do a task: of two that the request's id
// gives, the one with the shorter wait.
func (a *Asker) part(task Task) Part {
	first := Part{Service: task.Service, Count: partsOf(len(a.view.Upstreams().Of(task.Service)))}
	if first.Count == 1 {
		return first
	}
	second := first
	first.Index = int(rendezvous.Hash(task.Request) % uint64(first.Count))
	second.Index = int(rendezvous.Hash(task.Request+"/") % uint64(first.Count))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.waits.backlog(second, now) < a.waits.backlog(first, now) {
		return second
	}
	return first
}

// learn records an owner's estimates of the waits at a part of a pool.
func (a *Asker) learn(task Task, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits.learn(task.Part, task.Class, result, time.Now())
}

// Wait returns the estimate of the time that a stage of a request of a class takes at a
// service while it can be in time; 0 if there is none.
func (a *Asker) Wait(service string, class Class) time.Duration {
	return a.slowestPart(service, func(part Part, now time.Time) time.Duration { return a.waits.timely(part, class, now) })
}

// Backlog returns the estimate of the time that a stage takes at a service behind all
// that waits there; 0 if there is none.
func (a *Asker) Backlog(service string) time.Duration { return a.slowestPart(service, a.waits.backlog) }

// slowestPart returns the longest wait of the parts of a service's pool.
func (a *Asker) slowestPart(service string, wait func(Part, time.Time) time.Duration) time.Duration {
	count := partsOf(len(a.view.Upstreams().Of(service)))
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var longest time.Duration
	for index := range count {
		longest = max(longest, wait(Part{Service: service, Index: index, Count: count}, now))
	}
	return longest
}

// next returns a new number for a task.
func (a *Asker) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.number++
	return a.number
}

// owner returns the owner of a part of a pool: of the members that are not under
// suspicion, this process among them, one with the most of a processor, and of these the
// one with the highest score. This process is taken if there is no other.
func (a *Asker) owner(part Part, now time.Time) view.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := rendezvous.Hash(part.key())
	best := view.Member{Name: a.self.Name, Cores: -1}
	if !a.leaving {
		best = a.self
	}
	for _, member := range a.view.Members() {
		if now.Before(a.suspects[member.Incarnation]) {
			continue
		}
		if ownsBefore(key, member, best) {
			best = member
		}
	}
	return best
}

// ownsBefore tells whether a is to own what has a key rather than b. A queue for 43 upstreams
// takes some hundredths of a core, a good part of what the smallest machines have.
func ownsBefore(key uint64, a, b view.Member) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return rendezvous.Score(key, rendezvous.Hash(a.Name)) > rendezvous.Score(key, rendezvous.Hash(b.Name))
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
