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

// Dispatcher submits tasks to the owners of pools. It is safe for concurrent use.
type Dispatcher struct {
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
	leaving bool
	waits   *waits
	held    *held
	// memberList is the last list of gateways by which owners were told of results; only Run uses it.
	memberList []view.Member
	lastNumber uint64
}

// NewDispatcher returns a Dispatcher for the process self, whose local Owner is owner. Its links
// to other owners close when lifetime ends.
func NewDispatcher(lifetime context.Context, v *view.View, self view.Member, owner *Owner, dialer *link.Dialer, logger *observe.Logger) *Dispatcher {
	return &Dispatcher{
		view:     v,
		self:     self,
		dialer:   dialer,
		logger:   logger,
		local:    owner.Session(true),
		lifetime: lifetime,
		links:    make(map[string]*ownerLink),
		suspects: make(map[string]time.Time),
		waits:    newWaits(),
		held:     newHeld(),
	}
}

// maxOwnerTries bounds the number of owners that one task is submitted to.
const maxOwnerTries = 3

// Do submits a task to the owner of its part of the pool and waits for the result. If the owner
// stops responding or hands the task back, the next owner gets it. Do calls inputsRead when the
// task's inputs have been read; inputsRead must return at once. Do also returns the name of the
// last owner tried; the error is that of ctx.
func (d *Dispatcher) Do(ctx context.Context, task Task, inputsRead func()) (Result, string, error) {
	start := time.Now()
	task.Part = d.choosePart(task)
	original := task
	var result Result
	var owner string
	for range maxOwnerTries {
		elapsed := time.Since(start)
		task.Remaining, task.Due, task.Ends = original.Remaining-elapsed, original.Due-elapsed, original.Ends-elapsed
		var err error
		result, owner, err = d.tryOwner(ctx, task, inputsRead)
		if err != nil || result.Failure != OwnerLost && result.Failure != OwnerLeft {
			return result, owner, err
		}
	}
	return result, owner, nil
}

// Leave makes other gateways, if there are any, the owners for this process's tasks from now
// on, and tells the present owners that this process leaves.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	for _, l := range d.links {
		l.enqueue(callerMessage(d.self, true))
	}
}

// tryOwner submits a task to the current owner of its part and waits for the result.
func (d *Dispatcher) tryOwner(ctx context.Context, task Task, inputsRead func()) (Result, string, error) {
	owner := d.owner(task.Part, time.Now())
	results := make(chan Result, 1)
	number := d.nextNumber()
	notify := Notify{InputsRead: inputsRead, Done: func(r Result) { results <- r }}
	var cancel func()
	if to := d.introduce(task.Part, owner); to == nil {
		d.local.Submit(number, task, notify)
		cancel = func() { d.local.Cancel(number) }
	} else {
		to.submit(number, task, notify)
		cancel = func() { to.cancel(number) }
	}
	select {
	case result := <-results:
		d.recordEstimates(task, result)
		d.hold(task, result.Handles, owner)
		if result.Failure == OwnerLeft {
			d.suspect(owner)
		}
		return result, owner.Name, nil
	case <-ctx.Done():
		cancel()
		return Result{}, owner.Name, fault.Wrap(fault.Cancelled, "stage.wait", owner.Name, ctx.Err())
	}
}

// Free tells the owners of a service's pool to free results.
func (d *Dispatcher) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	d.drop(handles)
	for part, own := range byPart(d.view.Upstreams(), service, handles) {
		owner := d.owner(part, time.Now())
		if owner.Name == d.self.Name {
			d.local.Free(part, own)
			continue
		}
		d.link(owner).free(part, own)
	}
}

// choosePart returns the part of the pool that runs a task: of the two that the hashes of the
// request's ID select, the one with the shorter backlog.
func (d *Dispatcher) choosePart(task Task) Part {
	first := Part{Service: task.Service, Count: partsOf(len(d.view.Upstreams().Of(task.Service)))}
	if first.Count == 1 {
		return first
	}
	second := first
	first.Index = int(rendezvous.Hash(task.Request) % uint64(first.Count))
	second.Index = int(rendezvous.Hash(task.Request+"/") % uint64(first.Count))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.waits.backlog(second, now) < d.waits.backlog(first, now) {
		return second
	}
	return first
}

// recordEstimates records an owner's estimates of the waits at a part of a pool.
func (d *Dispatcher) recordEstimates(task Task, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits.record(task.Part, task.Class, result, time.Now())
}

// Wait estimates how long a stage of a request of a class takes at a service while the request
// is in time; 0 if there is no estimate.
func (d *Dispatcher) Wait(service string, class Class) time.Duration {
	return d.slowestPart(service, func(part Part, now time.Time) time.Duration { return d.waits.inTime(part, class, now) })
}

// Backlog estimates how long a stage takes at a service if it is queued behind the whole
// backlog; 0 if there is no estimate.
func (d *Dispatcher) Backlog(name string) time.Duration { return d.slowestPart(name, d.waits.backlog) }

// slowestPart returns the longest wait among the parts of a service's pool.
func (d *Dispatcher) slowestPart(service string, wait func(Part, time.Time) time.Duration) time.Duration {
	count := partsOf(len(d.view.Upstreams().Of(service)))
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var longest time.Duration
	for index := range count {
		longest = max(longest, wait(Part{Service: service, Index: index, Count: count}, now))
	}
	return longest
}

// nextNumber returns a new task number.
func (d *Dispatcher) nextNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	return d.lastNumber
}

// owner returns the owner of a part of a pool: among this process and the members that are not
// suspected, the one with the most CPU cores; ties are broken by the rendezvous score. If there
// is no other candidate, it returns this process.
func (d *Dispatcher) owner(part Part, now time.Time) view.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := rendezvous.Hash(part.key())
	best := view.Member{Name: d.self.Name, Cores: -1}
	if !d.leaving {
		best = d.self
	}
	for _, member := range d.view.Members() {
		if now.Before(d.suspects[member.Incarnation]) {
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
func (d *Dispatcher) link(owner view.Member) *ownerLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.links[owner.Name]; l != nil && l.incarnation == owner.Incarnation {
		return l
	}
	l := newOwnerLink(d, owner)
	l.enqueue(callerMessage(d.self, d.leaving))
	d.links[owner.Name] = l
	go l.run(d.lifetime)
	return l
}

// suspect skips an owner for suspectFor.
func (d *Dispatcher) suspect(owner view.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for incarnation, until := range d.suspects {
		if now.After(until) {
			delete(d.suspects, incarnation)
		}
	}
	d.suspects[owner.Incarnation] = now.Add(suspectFor)
}

// linkLost removes a broken link and suspects its owner.
func (d *Dispatcher) linkLost(l *ownerLink, tasks int, err error) {
	d.mu.Lock()
	if d.links[l.owner.Name] == l {
		delete(d.links, l.owner.Name)
	}
	d.mu.Unlock()
	d.suspect(l.owner)
	d.logger.Warn(event.PoolOwnerLost, observe.Fields{"owner": l.owner.Name, "tasks": tasks, "error": err.Error()})
	d.tellNextOwners()
}
