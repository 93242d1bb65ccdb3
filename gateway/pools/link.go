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
	// pingInterval is how often an owner with open tasks is pinged. silenceTimeout is the time
	// after which an owner that sends nothing is given up; until then all tasks for its pools are
	// stalled. An owner replies within a few ms unless it is frozen or disconnected; a busy one on
	// a small machine may take some hundred ms.
	pingInterval   = 200 * time.Millisecond
	silenceTimeout = 600 * time.Millisecond
	// stallThreshold is the time since the last ping after which this process counts as stalled
	// itself: the owner's replies may still be waiting to be read.
	stallThreshold = 2 * pingInterval
	// openTimeout bounds opening the link.
	openTimeout = time.Second
)

// requestQueueSize bounds the messages queued for a slow owner.
const requestQueueSize = 4096

// ownerLink is the stream to one owner. A broken link is not reopened.
type ownerLink struct {
	dispatcher  *Dispatcher
	owner       view.Member
	incarnation string
	send        chan *wirepb.PoolRequest

	mu    sync.Mutex
	tasks map[uint64]Notify
	// lastReceived is when the owner last sent a message, lastPing when the last ping was due.
	lastReceived, lastPing time.Time
	broken                 bool
}

// newOwnerLink returns a link; the caller must call run.
func newOwnerLink(d *Dispatcher, owner view.Member) *ownerLink {
	return &ownerLink{
		dispatcher:   d,
		owner:        owner,
		incarnation:  owner.Incarnation,
		send:         make(chan *wirepb.PoolRequest, requestQueueSize),
		tasks:        make(map[uint64]Notify),
		lastReceived: time.Now(),
	}
}

// submit sends a task.
func (l *ownerLink) submit(number uint64, task Task, notify Notify) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken || !l.enqueue(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Task{Task: taskMessage(number, task)}}) {
		notify.Done(Result{Failure: OwnerLost})
		return
	}
	if len(l.tasks) == 0 {
		l.lastReceived = time.Now()
	}
	l.tasks[number] = notify
}

// enqueue queues a message, or returns false if the queue is full.
func (l *ownerLink) enqueue(m *wirepb.PoolRequest) bool {
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
		l.enqueue(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Cancel{Cancel: number}})
	}
}

// free tells the owner to free results. If the message does not reach the owner, the upstreams that
// hold the results drop them after the keep time of their pool.
func (l *ownerLink) free(part Part, handles []string) {
	l.enqueue(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Free{Free: &wirepb.PoolFree{
		Service: part.Service,
		Part:    uint32(part.Index),
		Parts:   uint32(part.Count),
		Handles: handles,
	}}})
}

// heldPerMessage bounds the results in one message: some 40 KB.
const heldPerMessage = 1024

// held tells the owner which results of a part this process uses. Without results, it sends an empty list.
func (l *ownerLink) held(part Part, handles []string, bytes []uint64) {
	for start := 0; start == 0 || start < len(handles); start += heldPerMessage {
		end := min(start+heldPerMessage, len(handles))
		l.enqueue(&wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Held{Held: &wirepb.PoolHeld{
			Service: part.Service,
			Part:    uint32(part.Index),
			Parts:   uint32(part.Count),
			Handles: handles[start:end],
			Bytes:   bytes[start:end],
		}}})
	}
}

// run carries messages until the link breaks, and then fails the open tasks.
func (l *ownerLink) run(lifetime context.Context) {
	ctx, cancel := context.WithCancelCause(lifetime)
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
	l.dispatcher.linkLost(l, len(open), err)
}

// serve opens the stream and receives until it breaks.
func (l *ownerLink) serve(ctx context.Context, cancel context.CancelCauseFunc) error {
	stream, err := l.open(ctx, cancel)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the stream is broken or no longer needed
	l.dispatcher.logger.Event(event.PoolOwnerJoined, observe.Fields{"owner": l.owner.Name})
	go l.write(ctx, cancel, stream)
	for {
		reply, err := stream.Recv()
		if err != nil {
			return fault.Wrap(fault.Unavailable, "pool.receive", l.owner.Name, err)
		}
		l.handleReply(reply)
	}
}

// open opens the stream within openTimeout.
func (l *ownerLink) open(ctx context.Context, cancel context.CancelCauseFunc) (wirepb.DRPCPool_WorkClient, error) {
	timeout := time.AfterFunc(openTimeout, func() {
		cancel(fault.New(fault.Unavailable, "pool.open", l.owner.Name, "no connection within %v", openTimeout))
	})
	defer timeout.Stop()
	conn := l.dispatcher.dialer.Conn(ctx, l.owner.Address)
	stream, err := wirepb.NewDRPCPoolClient(conn).Work(ctx)
	return stream, fault.Wrap(fault.Unavailable, "pool.open", l.owner.Name, err)
}

// write sends queued messages, and pings while tasks are open.
func (l *ownerLink) write(ctx context.Context, cancel context.CancelCauseFunc, stream wirepb.DRPCPool_WorkClient) {
	ticker := time.NewTicker(pingInterval)
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

// ping returns a ping if tasks are open, and ends the link if the owner has been silent for too
// long.
func (l *ownerLink) ping(now time.Time, cancel context.CancelCauseFunc) *wirepb.PoolRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tasks) == 0 {
		return nil
	}
	stalled := now.Sub(l.lastPing) > stallThreshold
	l.lastPing = now
	if silent := now.Sub(l.lastReceived); silent > silenceTimeout && !stalled {
		cancel(fault.New(fault.Unavailable, "pool.receive", l.owner.Name, "silent for %v", silent))
		return nil
	}
	return &wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Ping{Ping: 1}}
}

// handleReply calls the callback of the task that a reply is about. Results that nobody waits for
// are dropped by their upstreams after the keep time of the pool.
func (l *ownerLink) handleReply(reply *wirepb.PoolReply) {
	switch kind := reply.GetKind().(type) {
	case *wirepb.PoolReply_Result:
		if notify, found := l.lookup(kind.Result.GetTicket(), true); found {
			notify.Done(resultOf(kind.Result))
		}
	case *wirepb.PoolReply_Begun:
		if notify, found := l.lookup(kind.Begun, false); found {
			notify.InputsRead()
		}
	default:
		l.lookup(0, false)
	}
}

// lookup records that the owner has sent a message and returns the callbacks of a task. If end is
// set, the task is no longer open afterwards.
func (l *ownerLink) lookup(number uint64, end bool) (Notify, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	notify, found := l.tasks[number]
	if end {
		delete(l.tasks, number)
	}
	return notify, found
}
