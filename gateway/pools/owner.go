package pools

import (
	"context"
	"sync"
	"time"

	"acaciawinch/core/pool"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/stagecall"
)

// tickEvery is how often an owner drops what is late and forgets what has lapsed.
const tickEvery = 20 * time.Millisecond

// Fleet is what an Owner needs to know of the fleet, and tells it. Table and Upstreams are nil
// before the first configuration or list.
type Fleet interface {
	Table() *routes.Table
	Upstreams() *routes.Upstreams
	// UpstreamAsked takes what an upstream asked in an answer. It may call Refresh.
	UpstreamAsked(asked view.Asked)
}

// Owner queues and calls for the pools that askers give it. It may be used by many
// goroutines.
type Owner struct {
	fleet  Fleet
	client *httpconn.Client
	logger *observe.Logger

	mu     sync.Mutex
	pools  map[Part]*owned
	ticket pool.Ticket
	// life bounds the calls.
	life context.Context
	// leaving is set at a planned stop.
	leaving bool
	// early holds tasks that came before this process knew its configuration and upstreams.
	early []earlyTask
	// earlyFrees holds what was to be freed then.
	earlyFrees []earlyFree
}

// owned is one pool at its owner. The Owner's lock guards it.
type owned struct {
	Part
	queue *pool.Pool
	tasks map[pool.Ticket]*openTask
	// results holds what upstreams keep, by handle.
	results map[string]kept
	// freeing holds what is to be freed, by its upstream's address.
	freeing map[string]*freeing
	keep    time.Duration
	// since is when this process became the owner.
	since time.Time
}

// openTask is a task that has no result yet.
type openTask struct {
	Task
	core    *pool.Task
	handles []string
	left    int
	notify  Notify
	// begun is set once the asker was told that the inputs were read.
	begun bool
	// session is who asked, under which number; its end cancels the task.
	session *Session
	number  uint64
}

// kept is a result that an upstream keeps.
type kept struct {
	upstream routes.Upstream
	bytes    int64
	until    time.Time
}

// freeing is what one upstream is to be told to drop.
type freeing struct {
	handles []string
	// bytes is the size of those that this owner had made.
	bytes int64
}

// NewOwner returns an Owner. Run must be called before tasks come.
func NewOwner(life context.Context, fleet Fleet, client *httpconn.Client, logger *observe.Logger) *Owner {
	return &Owner{fleet: fleet, client: client, logger: logger, pools: make(map[Part]*owned), life: life}
}

// Run drops what is late until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
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

// tick drops late items, forgets lapsed results and frees what is to be freed.
func (o *Owner) tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part, p := range o.pools {
		if p.empty() && part.Count != partsOf(len(o.fleet.Upstreams().Of(part.Service))) {
			delete(o.pools, part) // the pool is cut into other parts now
			continue
		}
		expired := Late
		if p.queue.Evacuated() {
			expired = Evacuated
		}
		for _, item := range p.queue.Expire(now) {
			o.fail(p, item.Task.Ticket, expired)
		}
		p.lapse(now)
		o.sendFrees(p, now)
		o.pump(p, now)
	}
}

// empty tells whether nothing is asked of the part or kept for it.
func (p *owned) empty() bool {
	return len(p.tasks) == 0 && len(p.results) == 0 && len(p.freeing) == 0
}

// lapse forgets the results that their upstreams no longer keep.
func (p *owned) lapse(now time.Time) {
	for handle, result := range p.results {
		if now.After(result.until) {
			delete(p.results, handle)
			p.queue.Free(result.upstream, result.bytes)
		}
	}
}

// Refresh takes over changed upstreams and settings of all pools.
func (o *Owner) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submitEarly()
	for _, p := range o.pools {
		o.configure(p)
		o.pump(p, time.Now())
	}
}

// pool returns a part of a pool, or nil if the configuration has no such pool.
func (o *Owner) pool(part Part) *owned {
	p := o.pools[part]
	if p != nil {
		return p
	}
	p = &owned{
		Part:    part,
		queue:   pool.New(routes.Pool{}),
		tasks:   make(map[pool.Ticket]*openTask),
		results: make(map[string]kept),
		freeing: make(map[string]*freeing),
		since:   time.Now(),
	}
	if !o.configure(p) {
		return nil
	}
	o.pools[part] = p
	return p
}

// configure gives a pool its settings and upstreams, and tells whether it has any.
func (o *Owner) configure(p *owned) bool {
	table, upstreams := o.fleet.Table(), o.fleet.Upstreams()
	if table == nil || upstreams == nil {
		return false
	}
	service := table.Service(p.Service)
	if service == nil || service.Pool == nil {
		return false
	}
	p.keep = service.Pool.KeepTime
	p.queue.Configure(*service.Pool)
	p.queue.SetUpstreams(p.of(upstreams))
	return true
}

// Leave hands back all tasks of which nothing has been sent yet, but for those of its own
// process, and takes no others: two owners of a pool would keep its upstreams waiting
// for each other. Calls that run are finished.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	for _, p := range o.pools {
		o.handBack(p, func(task *openTask) bool { return !task.session.local })
	}
	o.submitAll()
}

// HandBack hands back all tasks of a part of which nothing has been sent yet, and returns
// how many. Calls that run are finished.
func (o *Owner) HandBack(part Part) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[part]
	if p == nil {
		return 0
	}
	return o.handBack(p, func(*openTask) bool { return true })
}

// handBack hands back the tasks that match and of which nothing has been sent yet, and
// returns how many. The lock is held.
func (o *Owner) handBack(p *owned, match func(*openTask) bool) int {
	handed := 0
	for ticket, task := range p.tasks {
		if match(task) && p.queue.WaitingOf(ticket) == task.Pieces {
			o.fail(p, ticket, OwnerLeft)
			handed++
		}
	}
	return handed
}

// busyParts returns the parts for which tasks wait or run here.
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

// CallsIn returns how many calls run at the upstreams of a zone.
func (o *Owner) CallsIn(zone string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls := 0
	for _, p := range o.pools {
		calls += p.queue.CallsIn(zone)
	}
	return calls
}

// submit queues a task for a session. The lock is held.
func (o *Owner) submit(session *Session, number uint64, task Task, notify Notify) bool {
	p := o.pool(task.Part)
	if p == nil {
		return false
	}
	now := time.Now()
	o.ticket++
	open := &openTask{
		Task:    task,
		handles: make([]string, task.Pieces),
		left:    task.Pieces,
		notify:  notify,
		session: session,
		number:  number,
		core: &pool.Task{
			Ticket: o.ticket,
			Rank:   task.Class.Rank,
			Value:  task.Value,
			Due:    now.Add(task.Due),
			Last:   now.Add(task.Remaining),
			Bytes:  task.ResultBytes,
			Pulls:  task.Pulls,
		},
	}
	p.tasks[o.ticket] = open
	session.open[number] = openTicket{pool: p, ticket: o.ticket}
	switch {
	case p.queue.Evacuated():
		o.fail(p, o.ticket, Evacuated)
		return true
	case !p.queue.CanEnd(open.core, now):
		// A call for it would be cut while its upstream works, which looks like a fault.
		o.fail(p, o.ticket, Late)
		return true
	}
	p.queue.Add(open.core, task.Pieces)
	o.pump(p, now)
	return true
}

// free frees results of a part of a pool. Those that come before the configuration is known wait
// for it: an owner that has just started gets the wishes of all others, and what they name would
// fill the room of the whole pool until it lapses. The lock is held.
func (o *Owner) free(part Part, handles []string) {
	if !o.knows() {
		o.keepEarlyFree(part, handles)
		return
	}
	if p := o.pool(part); p != nil {
		p.free(handles)
	}
}

// end removes a task, and its waiting items, and returns it; nil if it has ended.
// The lock is held.
func (p *owned) end(ticket pool.Ticket) *openTask {
	task := p.tasks[ticket]
	if task == nil {
		return nil
	}
	delete(p.tasks, ticket)
	delete(task.session.open, task.number)
	p.queue.Cancel(ticket)
	return task
}

// pump makes all calls that can be made now.
func (o *Owner) pump(p *owned, now time.Time) {
	for {
		call := p.queue.Next(now)
		if call == nil {
			return
		}
		body, longest := p.encode(call, now)
		go o.call(p, call, body, longest)
		o.tellBegun(p, call)
	}
}

// readAllowance is how long after a call was sent its inputs have been read for
// certain: a free upstream reads them first, at 10,000 Mbit/s some 4 ms of a full
// batch; the rest is for busy links.
const readAllowance = 40 * time.Millisecond

// soleAfter is how long after the change of an owner, at least, the calls of the one
// before may still keep upstreams busy, so that a call waits there with its inputs
// unread. The results of that time lie there for as long as results are kept: an item
// may find no room, and is tried again, for which its inputs must still be there.
const soleAfter = time.Second

// tellBegun tells the askers of tasks whose last items go out with a call that the
// inputs have been read, as soon as they must have been.
func (o *Owner) tellBegun(p *owned, call *pool.Call) {
	if call.Began.Sub(p.since) < max(soleAfter, p.keep) || !p.queue.Alone(call.Upstream.ID) {
		return
	}
	var begun []pool.Ticket
	for _, item := range call.Items {
		task := p.tasks[item.Task.Ticket]
		if task != nil && !task.begun && len(task.Inputs) > 0 && p.queue.WaitingOf(item.Task.Ticket) == 0 {
			task.begun = true
			begun = append(begun, item.Task.Ticket)
		}
	}
	if len(begun) == 0 {
		return
	}
	time.AfterFunc(readAllowance, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, ticket := range begun {
			if task := p.tasks[ticket]; task != nil {
				task.notify.Begun()
			}
		}
	})
}

// encode returns the items of a call as they are sent, and what is left of the
// longest of their requests.
func (p *owned) encode(call *pool.Call, now time.Time) ([]stagecall.Item, time.Duration) {
	items := make([]stagecall.Item, len(call.Items))
	var longest time.Duration
	for i, item := range call.Items {
		left := max(time.Millisecond, item.Task.Last.Sub(now))
		longest = max(longest, left)
		items[i] = stagecall.Item{Piece: item.Index, RemainingMS: left.Milliseconds()}
		if task := p.tasks[item.Task.Ticket]; task != nil {
			items[i].Request = task.Request
			items[i].Stage = task.Stage
			items[i].Key = task.Key
			items[i].Inputs = task.Inputs
		}
	}
	return items, longest
}

// fail ends a task without results; those that were made are freed. The lock is held.
func (o *Owner) fail(p *owned, ticket pool.Ticket, why Failure) {
	task := p.end(ticket)
	if task == nil {
		return
	}
	p.free(task.handles)
	task.notify.Done(Result{Failure: why, Wait: p.queue.Wait(task.Class.Rank, task.Value), Backlog: p.queue.Backlog()})
}

// cancel ends a task that nobody waits for. The lock is held.
func (p *owned) cancel(ticket pool.Ticket) {
	if task := p.end(ticket); task != nil {
		p.free(task.handles)
	}
}
