package pools

import (
	"context"
	"sync"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// Timing of a link to an owner.
const (
	// pingEvery is how often an owner with open tasks is asked for a sign of life, and
	// silentAfter when one without an answer is given up: all that waits for its pools stands
	// still until then. An owner answers within a few ms unless it is frozen or cut off; a busy
	// one on a small machine may take some hundred.
	pingEvery   = 200 * time.Millisecond
	silentAfter = 600 * time.Millisecond
	// heldUp is how long after the last ping this process counts as held up itself: what the
	// owner said meanwhile may wait to be read.
	heldUp = 2 * pingEvery
	// openTimeout bounds the opening of the link.
	openTimeout = time.Second
)

// requestQueue bounds the messages that wait for a slow owner.
const requestQueue = 4096

// ownerLink is the stream to one owner. It ends for good when it breaks.
type ownerLink struct {
	asker       *Asker
	owner       view.Member
	incarnation string
	send        chan *wirepb.PoolRequest

	mu    sync.Mutex
	tasks map[uint64]Notify
	// heard is when the owner last said something, pinged when it was last asked to.
	heard, pinged time.Time
	broken        bool
}

// newOwnerLink returns a link whose run must be called.
func newOwnerLink(a *Asker, owner view.Member) *ownerLink {
	return &ownerLink{
		asker:       a,
		owner:       owner,
		incarnation: owner.Incarnation,
		send:        make(chan *wirepb.PoolRequest, requestQueue),
		tasks:       make(map[uint64]Notify),
		heard:       time.Now(),
	}
}

// submit sends a task.
func (l *ownerLink) submit(number uint64, task Task, notify Notify) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken || !l.push(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Task{Task: taskMessage(number, task)}}) {
		notify.Done(Result{Failure: OwnerLost})
		return
	}
	if len(l.tasks) == 0 {
		l.heard = time.Now()
	}
	l.tasks[number] = notify
}

// push queues a message, or returns false if the owner is too slow.
func (l *ownerLink) push(m *wirepb.PoolRequest) bool {
	select {
	case l.send <- m:
		return true
	default:
		return false
	}
}

// cancel drops a task.
func (l *ownerLink) cancel(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tasks, number)
	if !l.broken {
		l.push(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Cancel{Cancel: number}})
	}
}

// free gives results back. If the owner does not get to know, their makers drop them
// after a while.
func (l *ownerLink) free(part Part, handles []string) {
	l.push(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Free{Free: &wirepb.PoolFree{
		Service: part.Service,
		Part:    uint32(part.Index),
		Parts:   uint32(part.Count),
		Handles: handles,
	}}})
}

// run carries messages until the link breaks, and then ends its open tasks.
func (l *ownerLink) run(life context.Context) {
	ctx, cancel := context.WithCancelCause(life)
	defer cancel(nil)
	err := l.serve(ctx, cancel)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	l.mu.Lock()
	l.broken = true
	open := l.tasks
	l.tasks = nil
	l.mu.Unlock()
	for _, notify := range open {
		notify.Done(Result{Failure: OwnerLost})
	}
	l.asker.lost(l, len(open), err)
}

// serve opens the stream and receives until it breaks.
func (l *ownerLink) serve(ctx context.Context, cancel context.CancelCauseFunc) error {
	stream, err := l.open(ctx, cancel)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the stream is broken or no longer needed
	l.asker.logger.Event(event.PoolOwnerJoined, observe.Fields{"owner": l.owner.Name})
	go l.write(ctx, cancel, stream)
	for {
		reply, err := stream.Recv()
		if err != nil {
			return fault.Wrap(fault.Unavailable, "pool.receive", l.owner.Name, err)
		}
		l.take(reply)
	}
}

// open opens the stream within openTimeout.
func (l *ownerLink) open(ctx context.Context, cancel context.CancelCauseFunc) (wirepb.DRPCPool_WorkClient, error) {
	late := time.AfterFunc(openTimeout, func() {
		cancel(fault.New(fault.Unavailable, "pool.open", l.owner.Name, "no connection within %v", openTimeout))
	})
	defer late.Stop()
	conn := l.asker.dialer.Conn(ctx, l.owner.Address)
	stream, err := wirepb.NewDRPCPoolClient(conn).Work(ctx)
	return stream, fault.Wrap(fault.Unavailable, "pool.open", l.owner.Name, err)
}

// write sends what is queued, and pings while tasks are open.
func (l *ownerLink) write(ctx context.Context, cancel context.CancelCauseFunc, stream wirepb.DRPCPool_WorkClient) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		var m *wirepb.PoolRequest
		select {
		case <-ctx.Done():
			return
		case m = <-l.send:
		case now := <-ticker.C:
			if m = l.ping(now, cancel); m == nil {
				continue
			}
		}
		if err := stream.Send(m); err != nil {
			cancel(fault.Wrap(fault.Unavailable, "pool.send", l.owner.Name, err))
			return
		}
	}
}

// ping returns a ping if tasks are open, and ends the link if the owner is silent.
func (l *ownerLink) ping(now time.Time, cancel context.CancelCauseFunc) *wirepb.PoolRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tasks) == 0 {
		return nil
	}
	late := now.Sub(l.pinged) > heldUp
	l.pinged = now
	if silent := now.Sub(l.heard); silent > silentAfter && !late {
		cancel(fault.New(fault.Unavailable, "pool.receive", l.owner.Name, "silent for %v", silent))
		return nil
	}
	return &wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Ping{Ping: 1}}
}

// take hands an owner's reply to who waits for it. Results that nobody waits for any
// more are dropped by their makers after a while.
func (l *ownerLink) take(reply *wirepb.PoolReply) {
	switch kind := reply.GetKind().(type) {
	case *wirepb.PoolReply_Result:
		if notify, waited := l.find(kind.Result.GetTicket(), true); waited {
			notify.Done(resultOf(kind.Result))
		}
	case *wirepb.PoolReply_Begun:
		if notify, waited := l.find(kind.Begun, false); waited {
			notify.Begun()
		}
	default:
		l.find(0, false)
	}
}

// find notes a sign of life and returns who waits for a task; with end set the task is
// no longer open.
func (l *ownerLink) find(number uint64, end bool) (Notify, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	notify, waited := l.tasks[number]
	if end {
		delete(l.tasks, number)
	}
	return notify, waited
}
