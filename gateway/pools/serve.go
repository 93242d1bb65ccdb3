package pools

import (
	"context"
	"time"

	"acaciawinch/core/pool"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// replyQueueSize bounds the replies queued for a slow caller. The stream of a caller that falls
// further behind, or for whose replies there is no memory, is closed; the caller then submits its tasks to another owner.
const replyQueueSize = 1024

// Server serves an Owner to the other gateways.
type Server struct {
	wirepb.DRPCPoolUnimplementedServer
	owner *Owner
}

// NewServer returns a Server for an Owner.
func NewServer(owner *Owner) *Server { return &Server{owner: owner} }

// Work implements wirepb.DRPCPoolServer.
func (s *Server) Work(stream wirepb.DRPCPool_WorkStream) error {
	session := s.owner.Session(false)
	queue := newReplyQueue(s.owner.memory)
	defer queue.drop()
	defer session.End()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go sendReplies(ctx, cancel, stream, queue)
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil // a stream normally ends when the caller closes it
		}
		handleRequest(session, request, func(reply *wirepb.PoolReply) {
			if !queue.add(reply) {
				cancel()
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// sendReplies writes replies until ctx ends or the stream breaks.
func sendReplies(ctx context.Context, cancel context.CancelFunc, stream wirepb.DRPCPool_WorkStream, queue *replyQueue) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-queue.replies:
			err := stream.Send(reply.message)
			reply.room.Release()
			if err != nil {
				return // the caller is gone; Recv ends as well
			}
		}
	}
}

// handleRequest handles one request of a caller.
func handleRequest(session *Session, request *wirepb.PoolRequest, reply func(*wirepb.PoolReply)) {
	switch kind := request.GetKind().(type) {
	case *wirepb.PoolRequest_Task:
		number := kind.Task.GetTicket()
		session.Submit(number, taskOf(kind.Task), Notify{
			InputsRead: func() { reply(&wirepb.PoolReply{Kind: &wirepb.PoolReply_Begun{Begun: number}}) },
			Done: func(result Result) {
				reply(&wirepb.PoolReply{Kind: &wirepb.PoolReply_Result{Result: resultMessage(number, result)}})
			},
		})
	case *wirepb.PoolRequest_Cancel:
		session.Cancel(kind.Cancel)
	case *wirepb.PoolRequest_Free:
		session.Free(partOf(kind.Free), kind.Free.GetHandles())
	case *wirepb.PoolRequest_Held:
		session.Held(partOf(kind.Held), kind.Held.GetHandles(), kind.Held.GetBytes())
	case *wirepb.PoolRequest_Caller:
		session.Identify(kind.Caller.GetName(), kind.Caller.GetIncarnation(), kind.Caller.GetLeaving())
	case *wirepb.PoolRequest_Ping:
		reply(&wirepb.PoolReply{Kind: &wirepb.PoolReply_Pong{Pong: kind.Ping}})
	}
}

// taskOf decodes a task.
func taskOf(m *wirepb.PoolTask) Task {
	return Task{
		Part:        partOf(m),
		Request:     m.GetRequest(),
		Stage:       int(m.GetStage()),
		Items:       int(m.GetPieces()),
		Key:         m.GetKey(),
		Inputs:      m.GetInputs(),
		ResultBytes: int64(m.GetResultBytes()),
		Remaining:   time.Duration(m.GetRemainingMs()) * time.Millisecond,
		Due:         time.Duration(m.GetDueMs()) * time.Millisecond,
		Class:       Class{Rank: int(m.GetRank())},
		Value:       m.GetValue(),
		Transfers:   transfersOf(m.GetPulls()),
		Later:       laterOf(m.GetLater()),
		Fingerprint: m.GetFingerprint(),
		Workspace:   m.GetWorkspace(),
		Ends:        time.Duration(m.GetEndsMs()) * time.Millisecond,
	}
}

// partMessage is a message about a part of a pool.
type partMessage interface {
	GetService() string
	GetPart() uint32
	GetParts() uint32
}

// partOf decodes the part that a message is about.
func partOf(m partMessage) Part {
	return Part{Service: m.GetService(), Index: int(m.GetPart()), Count: int(m.GetParts())}
}

// transfersOf decodes a task's transfers.
func transfersOf(list []*wirepb.PoolPull) []pool.Transfer {
	transfers := make([]pool.Transfer, len(list))
	for i, pull := range list {
		transfers[i] = pool.Transfer{Zone: pull.GetZone(), Bytes: int64(pull.GetBytes())}
	}
	return transfers
}

// transferMessages encodes a task's transfers.
func transferMessages(transfers []pool.Transfer) []*wirepb.PoolPull {
	list := make([]*wirepb.PoolPull, len(transfers))
	for i, transfer := range transfers {
		list[i] = &wirepb.PoolPull{Zone: transfer.Zone, Bytes: uint64(transfer.Bytes)}
	}
	return list
}

// callerMessage encodes the caller of a stream.
func callerMessage(self view.Member, leaving bool) *wirepb.PoolRequest {
	return &wirepb.PoolRequest{Kind: &wirepb.PoolRequest_Caller{Caller: &wirepb.PoolCaller{Name: self.Name, Incarnation: self.Incarnation, Leaving: leaving}}}
}

// taskMessage encodes a task.
func taskMessage(number uint64, t Task) *wirepb.PoolTask {
	return &wirepb.PoolTask{
		Ticket:      number,
		Service:     t.Service,
		Request:     t.Request,
		Stage:       uint32(t.Stage),
		Pieces:      uint32(t.Items),
		Key:         t.Key,
		Inputs:      t.Inputs,
		ResultBytes: uint64(t.ResultBytes),
		RemainingMs: t.Remaining.Milliseconds(),
		DueMs:       t.Due.Milliseconds(),
		Rank:        uint32(max(0, t.Class.Rank)),
		Value:       t.Value,
		Pulls:       transferMessages(t.Transfers),
		Part:        uint32(t.Index),
		Parts:       uint32(t.Count),
		Later:       laterMessages(t.Later),
		Fingerprint: t.Fingerprint,
		Workspace:   t.Workspace,
		EndsMs:      t.Ends.Milliseconds(),
	}
}

// resultMessage encodes a result.
func resultMessage(number uint64, r Result) *wirepb.PoolResult {
	return &wirepb.PoolResult{
		Ticket:       number,
		Handles:      r.Handles,
		Failure:      string(r.Failure),
		WaitMs:       uint64(r.Wait.Milliseconds()),
		BacklogMs:    uint64(r.Backlog.Milliseconds()),
		RetryAfterMs: uint64(r.RetryAfter.Milliseconds()),
		LateRefused:  r.LateRefused,
	}
}

// resultOf decodes a result.
func resultOf(m *wirepb.PoolResult) Result {
	return Result{
		Handles:     m.GetHandles(),
		Failure:     Failure(m.GetFailure()),
		Wait:        time.Duration(m.GetWaitMs()) * time.Millisecond,
		Backlog:     time.Duration(m.GetBacklogMs()) * time.Millisecond,
		RetryAfter:  time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		LateRefused: m.GetLateRefused(),
	}
}
