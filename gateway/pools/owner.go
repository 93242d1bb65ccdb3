package pools

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/comeback"
	"acaciawinch/core/memory"
	"acaciawinch/core/pool"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/stagecall"
)

// tickInterval is how often an owner drops expired tasks and results.
const tickInterval = 20 * time.Millisecond

// Fleet is an Owner's access to the state of the fleet. Table and Upstreams return nil before
// the first configuration or list.
type Fleet interface {
	Table() *routes.Table
	Upstreams() *routes.Upstreams
	// Members returns the other gateways. The slice is replaced when they change.
	Members() []view.Member
	// RecordUpstreamReport takes what an upstream requested in a response: a drain or a backoff.
	// It may call Refresh.
	RecordUpstreamReport(report view.UpstreamReport)
}

// Owner queues tasks and calls upstreams for the parts of pools that callers submit tasks for.
// It is safe for concurrent use.
type Owner struct {
	fleet  Fleet
	client *httpconn.Client
	limits *ratelimit.Limiter
	logger *observe.Logger
	memory *memory.Budget

	mu         sync.Mutex
	pools      map[Part]*ownedPart
	lastTicket pool.Ticket
	// lifetime bounds the calls.
	lifetime context.Context
	// leaving is set on a planned stop.
	leaving bool
	// earlyTasks holds tasks that arrived before the configuration and the upstreams were
	// known.
	earlyTasks []earlyTask
	// earlyFrees holds requests to free results that arrived before then.
	earlyFrees []earlyFree
	// earlyHelds holds reports on results that arrived before then.
	earlyHelds []earlyHeld
	// callers holds the processes of other gateways by incarnation; memberList is the last list of the other
	// gateways and listed holds the incarnations in it.
	callers    map[string]*caller
	memberList []view.Member
	listed     map[string]bool
	metrics    metrics
	// firstStartUntil is until when this process counts as part of the first start of its fleet; the zero
	// time if it is not part of one.
	firstStartUntil time.Time
	// reportWait is how long work waits for a report on the room.
	reportWait time.Duration
	// placeCounters is set if places are kept and full pools shared between workspaces.
	placeCounters *placeCounters
	// late is set if late tasks are kept for the capacity that is expected to be free.
	late *lateMetrics
}

// ownedPart is one part of a pool at its owner. The Owner's lock guards it.
type ownedPart struct {
	Part
	queue *pool.Pool
	tasks map[pool.Ticket]*openTask
	// results holds the results that upstreams keep, by handle.
	results map[string]keptResult
	// freedResults holds those that were freed and not yet due to expire.
	freedResults map[string]keptResult
	// pendingFrees holds the results to be freed, by the address of their upstream.
	pendingFrees map[string]*pendingFree
	keepTime     time.Duration
	// permits holds the permits for calls by the ID of the upstream; asking is set for the upstreams for which
	// one is asked, and hasLimits if the queue knows of limits.
	permits   map[string]*ratelimit.Permit
	asking    map[string]bool
	hasLimits bool
	// nextFree holds the earliest time of the next call that frees results, by the ID of the upstream.
	nextFree map[string]time.Time
	// late follows the late tasks; nil if they are not kept for the capacity that is expected to be free.
	late *lateWork
	// ownedSince is when this process became the owner.
	ownedSince time.Time
	// askRoom is set while the upstreams are to be asked for their room; roomAskedAt is when they were last
	// asked.
	askRoom     bool
	roomAskedAt time.Time
	// places holds the places of refused clients; nil if none are kept.
	places *comeback.Places
}

// openTask is a task that has not ended.
type openTask struct {
	Task
	queued *pool.Task
	// endsAt is when the last stage of the request must be complete.
	endsAt time.Time
	// hadPlace is set if the client has returned to its place.
	hadPlace bool
	handles  []string
	// pending is the number of items without a result.
	pending int
	notify  Notify
	// inputsReadNotified is set once the caller has been notified, or is about to be, that the inputs
	// have been read.
	inputsReadNotified bool
	// session is the caller's session, whose end cancels the task; number is the caller's
	// number of the task.
	session *Session
	number  uint64
	// room is the memory of the task, which its end releases.
	room *memory.Reservation
}

// keptResult is a result that an upstream keeps.
type keptResult struct {
	upstream routes.Upstream
	item     itemKey
	bytes    int64
	until    time.Time
	// caller is the process that it was handed to; nil if that is this process or unknown.
	caller *caller
}

// pendingFree holds the results that one upstream is to drop.
type pendingFree struct {
	handles []string
	// bytes is the total size of those results that this owner has recorded, until the time at which the
	// upstream drops the last of them by itself.
	bytes int64
	until time.Time
}

// NewOwner returns an Owner. Run must be called before tasks are submitted.
func NewOwner(lifetime context.Context, fleet Fleet, client *httpconn.Client, limits *ratelimit.Limiter, logger *observe.Logger) *Owner {
	return &Owner{fleet: fleet, client: client, limits: limits, logger: logger, pools: make(map[Part]*ownedPart), lifetime: lifetime,
		callers: make(map[string]*caller), metrics: newMetrics(tally.NoopScope), reportWait: reportWait}
}

// UseMemory makes tasks, the responses to calls while they are read, and the replies to other gateways until they are
// sent reserve their memory in a budget. It must be called before Run.
func (o *Owner) UseMemory(budget *memory.Budget) { o.memory = budget }

// Observe makes the Owner report its metrics to scope. It must be called before Run.
func (o *Owner) Observe(scope tally.Scope) { o.metrics = newMetrics(scope) }

// Run drops expired tasks and results until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			o.tick(now)
		}
	}
}

// tick drops late items and expired results, and sends pending frees and calls.
func (o *Owner) tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part, p := range o.pools {
		if p.empty() && part.Count != partsOf(len(o.fleet.Upstreams().Of(part.Service))) {
			delete(o.pools, part) // the pool is divided into other parts now
			continue
		}
		o.refreshPlaces(p, now)
		expired := Late
		if p.queue.Evacuated() {
			expired = Evacuated
		}
		items := p.queue.Expire(now)
		o.recordLate(p, now)
		for _, item := range items {
			o.fail(p, item.Task.Ticket, expired)
		}
		p.dropExpired(now)
		o.sendFrees(p, now)
		o.sendCalls(p, now)
	}
	o.forgetCallers(now)
}

// empty reports whether the part has no tasks, results or pending frees.
func (p *ownedPart) empty() bool {
	return len(p.tasks) == 0 && len(p.results) == 0 && len(p.pendingFrees) == 0
}

// dropExpired drops results that their upstreams no longer keep.
func (p *ownedPart) dropExpired(now time.Time) {
	for handle, result := range p.results {
		if now.After(result.until) {
			delete(p.results, handle)
			p.queue.Free(result.upstream, result.bytes)
		}
	}
	for handle, result := range p.freedResults {
		if now.After(result.until) {
			delete(p.freedResults, handle)
		}
	}
}

// Refresh applies changed upstreams and settings to all pools.
func (o *Owner) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.processEarly()
	o.membersChanged(o.fleet.Members(), time.Now())
	for _, p := range o.pools {
		o.configure(p)
		o.sendCalls(p, time.Now())
	}
}

// pool returns the state of a part, or nil if the configuration has no such pool.
func (o *Owner) pool(part Part) *ownedPart {
	p := o.pools[part]
	if p != nil {
		return p
	}
	p = &ownedPart{
		Part:         part,
		queue:        pool.New(routes.Pool{}),
		tasks:        make(map[pool.Ticket]*openTask),
		results:      make(map[string]keptResult),
		freedResults: make(map[string]keptResult),
		pendingFrees: make(map[string]*pendingFree),
		permits:      make(map[string]*ratelimit.Permit),
		asking:       make(map[string]bool),
		nextFree:     make(map[string]time.Time),
		ownedSince:   time.Now(),
	}
	p.askRoom = !p.ownedSince.Before(o.firstStartUntil)
	if !o.configure(p) {
		return nil
	}
	o.preparePlaces(p)
	o.startLateWork(p)
	o.pools[part] = p
	return p
}

// configure applies settings and upstreams to a part, and reports whether the configuration has
// its pool.
func (o *Owner) configure(p *ownedPart) bool {
	table, upstreams := o.fleet.Table(), o.fleet.Upstreams()
	if table == nil || upstreams == nil {
		return false
	}
	service := table.Service(p.Service)
	if service == nil || service.Pool == nil {
		return false
	}
	p.keepTime = service.Pool.KeepTime
	p.queue.Configure(*service.Pool)
	p.queue.SetUpstreams(p.of(upstreams))
	o.applyLimits(p)
	return true
}

// Leave hands back the tasks of other processes of which no item has been sent yet, and accepts no
// further tasks of other processes. Two owners of a pool would make each other's calls wait at the
// upstreams. Running calls are finished.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	for _, p := range o.pools {
		o.handBack(p, func(task *openTask) bool { return !task.session.local })
	}
	o.submitEarlyTasks()
}

// HandBack hands back all tasks of a part of which no item has been sent yet, and returns their
// number. Running calls are finished.
func (o *Owner) HandBack(part Part) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[part]
	if p == nil {
		return 0
	}
	return o.handBack(p, func(*openTask) bool { return true })
}

// handBack hands back the matching tasks of which no item has been sent yet, and returns their
// number. o.mu must be held.
func (o *Owner) handBack(p *ownedPart, match func(*openTask) bool) int {
	count := 0
	for ticket, task := range p.tasks {
		if match(task) && p.queue.WaitingOf(ticket) == task.Items {
			o.fail(p, ticket, OwnerLeft)
			count++
		}
	}
	return count
}

// busyParts returns the parts that have open tasks here.
func (o *Owner) busyParts() []Part {
	o.mu.Lock()
	defer o.mu.Unlock()
	var parts []Part
	for part, p := range o.pools {
		if len(p.tasks) > 0 {
			parts = append(parts, part)
		}
	}
	return parts
}

// CallsIn returns the number of running calls to the upstreams of a zone.
func (o *Owner) CallsIn(zone string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls := 0
	for _, p := range o.pools {
		calls += p.queue.CallsIn(zone)
	}
	return calls
}

// submit queues a task for a session, and reports whether the configuration has its pool; then the task
// owns room. o.mu must be held.
func (o *Owner) submit(session *Session, number uint64, task Task, notify Notify, room *memory.Reservation) bool {
	p := o.pool(task.Part)
	if p == nil {
		return false
	}
	now := time.Now()
	o.lastTicket++
	open := &openTask{
		Task:    task,
		handles: make([]string, task.Items),
		pending: task.Items,
		notify:  notify,
		session: session,
		number:  number,
		room:    room,
		endsAt:  now.Add(task.Ends),
		queued: &pool.Task{
			Ticket:    o.lastTicket,
			Rank:      task.Class.Rank,
			Value:     task.Value,
			Due:       now.Add(task.Due),
			Deadline:  now.Add(task.Remaining),
			Bytes:     task.ResultBytes,
			Transfers: task.Transfers,
			Workspace: task.Workspace,
			Later:     o.observeLater(p, task.Later, now),
		},
	}
	o.takePlace(p, open, now)
	p.late.arrived(task, now)
	p.tasks[o.lastTicket] = open
	session.tasks[number] = taskRef{part: p, ticket: o.lastTicket}
	o.applyLimits(p)
	switch {
	case p.queue.Evacuated():
		o.fail(p, o.lastTicket, Evacuated)
		return true
	case !p.queue.CanFinish(open.queued, now):
		// A call would be cut off while the upstream works, which looks like a fault.
		o.fail(p, o.lastTicket, Late)
		return true
	}
	p.queue.Add(open.queued, task.Items)
	o.sendCalls(p, now)
	return true
}

// free frees results of a part of a pool. Requests that arrive before the configuration is
// known are held until then: an owner that has just started receives those of all gateways, and
// if they were dropped, their results would fill the room of the whole pool until they expire.
// o.mu must be held.
func (o *Owner) free(part Part, handles []string) {
	if !o.configKnown() {
		o.holdEarlyFree(part, handles)
		return
	}
	if p := o.pool(part); p != nil {
		p.free(handles)
	}
}

// end removes a task and its queued items, and returns the task; nil if it has already ended.
// The Owner's lock must be held.
func (p *ownedPart) end(ticket pool.Ticket) *openTask {
	task := p.tasks[ticket]
	if task == nil {
		return nil
	}
	delete(p.tasks, ticket)
	delete(task.session.tasks, task.number)
	task.room.Release()
	p.queue.Cancel(ticket)
	return task
}

// sendCalls sends all calls that can be sent now.
func (o *Owner) sendCalls(p *ownedPart, now time.Time) {
	o.applyLimits(p)
	o.askRooms(p, now)
	defer o.askPermits(p, now)
	defer o.recordLate(p, now)
	for {
		call := p.queue.Next(now)
		if call == nil {
			return
		}
		b := &batch{Call: call, inputsOf: o.inputsReadBy(p, call), permit: p.takePermit(call.Upstream)}
		b.body, b.maxRemaining = p.encode(call, now)
		b.hasNext = p.queue.Waiting() > 0
		go o.call(p, b)
	}
}

// batch is a call as it is sent.
type batch struct {
	*pool.Call
	body []stagecall.Item
	// maxRemaining is the longest time remaining for a request of the items.
	maxRemaining time.Duration
	// permit allows the call if a limit of the upstream is known; nil if none is.
	permit *ratelimit.Permit
	// inputsOf holds the tasks whose inputs have all been read soon after the batch is sent.
	inputsOf []pool.Ticket
	// hasNext is set if other items wait, so that another call to the upstream will follow.
	hasNext bool
}

// inputReadTime is how long after a call was sent its inputs are certain to have been read. An
// idle upstream reads them first, which takes some 4 ms for a full batch at 10,000 Mbit/s; the
// remainder allows for busy links.
const inputReadTime = 40 * time.Millisecond

// minExclusiveTime is the least time after a change of owner before inputs are reported as
// read. Until then calls of the previous owner may keep upstreams busy, so that a call waits
// there with its inputs unread. Results of those calls take room for the keep time: an item
// may find no room, and its inputs must still exist for the retry.
const minExclusiveTime = time.Second

// inputsReadBy returns the tasks whose last items are in a call, if it is certain that the call's inputs
// have been read inputReadTime after it is sent.
func (o *Owner) inputsReadBy(p *ownedPart, call *pool.Call) []pool.Ticket {
	if call.StartedAt.Sub(p.ownedSince) < max(minExclusiveTime, p.keepTime) || !p.queue.RespondsPromptly(call.Upstream.ID) {
		return nil
	}
	var tickets []pool.Ticket
	for _, item := range call.Items {
		task := p.tasks[item.Task.Ticket]
		if task != nil && len(task.Inputs) > 0 && p.queue.WaitingOf(item.Task.Ticket) == 0 {
			tickets = append(tickets, item.Task.Ticket)
		}
	}
	return tickets
}

// reportInputsRead notifies the callers of tasks that the inputs have been read, once inputReadTime has
// passed. It is called when the batch with their last items is sent.
func (o *Owner) reportInputsRead(p *ownedPart, tickets []pool.Ticket) {
	if len(tickets) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var due []pool.Ticket
	for _, ticket := range tickets {
		if task := p.tasks[ticket]; task != nil && !task.inputsReadNotified {
			task.inputsReadNotified = true
			due = append(due, ticket)
		}
	}
	time.AfterFunc(inputReadTime, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, ticket := range due {
			p.notifyInputsRead(ticket)
		}
	})
}

// notifyInputsRead notifies the caller of a task, unless items are waiting again that were in a batch that
// was not sent. The Owner's lock must be held.
func (p *ownedPart) notifyInputsRead(ticket pool.Ticket) {
	task := p.tasks[ticket]
	switch {
	case task == nil:
	case p.queue.WaitingOf(ticket) > 0:
		task.inputsReadNotified = false
	default:
		task.notify.InputsRead()
	}
}

// encode returns the items of a call as they are sent, and the longest time remaining for one
// of their requests.
func (p *ownedPart) encode(call *pool.Call, now time.Time) ([]stagecall.Item, time.Duration) {
	items := make([]stagecall.Item, len(call.Items))
	var maxRemaining time.Duration
	for i, item := range call.Items {
		remaining := max(time.Millisecond, item.Task.Deadline.Sub(now))
		maxRemaining = max(maxRemaining, remaining)
		items[i] = stagecall.Item{Index: item.Index, RemainingMS: remaining.Milliseconds()}
		if task := p.tasks[item.Task.Ticket]; task != nil {
			items[i].Request = task.Request
			items[i].Stage = task.Stage
			items[i].Key = task.Key
			items[i].Inputs = task.Inputs
		}
	}
	return items, maxRemaining
}

// fail ends a task without results and frees the results it already has. o.mu must be held.
func (o *Owner) fail(p *ownedPart, ticket pool.Ticket, failure Failure) {
	task := p.end(ticket)
	if task == nil {
		return
	}
	p.free(task.handles)
	now := time.Now()
	if failure == Late {
		p.late.refused(task.Task, now)
	}
	result := p.resultOf(task, Result{Failure: failure}, now)
	o.keepPlace(p, task, result, now)
	task.notify.Done(result)
}

// cancel ends a task that nobody waits for. The Owner's lock must be held.
func (p *ownedPart) cancel(ticket pool.Ticket) {
	if task := p.end(ticket); task != nil {
		p.late.refused(task.Task, time.Now())
		p.free(task.handles)
	}
}
