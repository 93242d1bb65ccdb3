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

// suspectFor is how long an owner is skipped after it has stopped responding: long enough that
// a dead owner delays only one in many tasks, short enough that a recovered one soon owns its
// pools again.
const suspectFor = 3 * time.Second

// Asker submits tasks to the owners of pools. It is safe for concurrent use.
type Asker struct {
	view     *view.View
	self     view.Member
	dialer   *link.Dialer
	logger   *observe.Logger
	local    *Session
	lifetime context.Context

	mu    sync.Mutex
	links map[string]*ownerLink
	// suspects holds the time until which an owner is skipped, by its incarnation.
	suspects map[string]time.Time
	// leaving is set on a planned stop: from then on other gateways are the owners.
	leaving    bool
	waits      *waits
	lastNumber uint64
}

// NewAsker returns an Asker for the process self, whose local Owner is owner. Its links to
// other owners close when lifetime ends.
func NewAsker(lifetime context.Context, v *view.View, self view.Member, owner *Owner, dialer *link.Dialer, logger *observe.Logger) *Asker {
	return &Asker{
		view:     v,
		self:     self,
		dialer:   dialer,
		logger:   logger,
		local:    owner.Session(true),
		lifetime: lifetime,
		links:    make(map[string]*ownerLink),
		suspects: make(map[string]time.Time),
		waits:    newWaits(),
	}
}

// maxOwnerTries bounds the number of owners that one task is submitted to.
const maxOwnerTries = 3

// Do submits a task to the owner of its pool and waits for the result. If the owner stops
// responding or hands the task back, the next owner gets it. Do calls begun when the task's
// inputs have been read; begun must return at once. It returns the name of the last owner
// tried; the error is that of ctx.
func (a *Asker) Do(ctx context.Context, task Task, begun func()) (Result, string, error) {
	start := time.Now()
	task.Part = a.choosePart(task)
	original := task
	var result Result
	var owner string
	for range maxOwnerTries {
		elapsed := time.Since(start)
		task.Remaining, task.Due = original.Remaining-elapsed, original.Due-elapsed
		var err error
		result, owner, err = a.tryOwner(ctx, task, begun)
		if err != nil || result.Failure != OwnerLost && result.Failure != OwnerLeft {
			return result, owner, err
		}
	}
	return result, owner, nil
}

// Leave makes other gateways, if there are any, the owners for this process's tasks from now
// on.
func (a *Asker) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// tryOwner submits a task to the current owner of its part and waits for the result.
func (a *Asker) tryOwner(ctx context.Context, task Task, begun func()) (Result, string, error) {
	owner := a.owner(task.Part, time.Now())
	results := make(chan Result, 1)
	number := a.nextNumber()
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
		a.recordEstimates(task, result)
		if result.Failure == OwnerLeft {
			a.suspect(owner)
		}
		return result, owner.Name, nil
	case <-ctx.Done():
		cancel()
		return Result{}, owner.Name, fault.Wrap(fault.Cancelled, "stage.wait", owner.Name, ctx.Err())
	}
}

// Free releases results of a service at their owners.
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

// choosePart returns the part of the pool that runs a task: of the two that the hashes of the
// request's id select, the one with the shorter backlog.
func (a *Asker) choosePart(task Task) Part {
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

// recordEstimates records an owner's estimates of the waits at a part of a pool.
func (a *Asker) recordEstimates(task Task, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits.record(task.Part, task.Class, result, time.Now())
}

// Wait estimates how long a stage of a request of a class takes at a service while the request
// can still be on time; 0 if there is no estimate.
func (a *Asker) Wait(service string, class Class) time.Duration {
	return a.slowestPart(service, func(part Part, now time.Time) time.Duration { return a.waits.timely(part, class, now) })
}

// Backlog estimates how long a stage takes at a service if it is queued behind the whole
// backlog; 0 if there is no estimate.
func (a *Asker) Backlog(service string) time.Duration { return a.slowestPart(service, a.waits.backlog) }

// slowestPart returns the longest wait among the parts of a service's pool.
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

// nextNumber returns a new task number.
func (a *Asker) nextNumber() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	return a.lastNumber
}

// owner returns the owner of a part of a pool: among this process and the members that are not
// suspected, the one with the most CPU cores; ties are broken by the rendezvous score. If there
// is no other candidate, it returns this process.
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
		if preferredOwner(key, member, best) {
			best = member
		}
	}
	return best
}

// preferredOwner reports whether a is preferred to b as the owner for a key. More cores win
// because a queue for 43 upstreams takes some hundredths of a core, a large share of what the
// smallest machines have.
func preferredOwner(key uint64, a, b view.Member) bool {
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
	go l.run(a.lifetime)
	return l
}

// suspect makes an owner be skipped for suspectFor.
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

// linkLost removes a broken link and suspects its owner.
func (a *Asker) linkLost(l *ownerLink, tasks int, err error) {
	a.mu.Lock()
	if a.links[l.owner.Name] == l {
		delete(a.links, l.owner.Name)
	}
	a.mu.Unlock()
	a.suspect(l.owner)
	a.logger.Warn(event.PoolOwnerLost, observe.Fields{"owner": l.owner.Name, "tasks": tasks, "error": err.Error()})
}
