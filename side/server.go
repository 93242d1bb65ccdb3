package side

import (
	"context"
	"sync"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/wirepb"
)

// thinCapacity bounds the attempts at the upstream at once.
const thinCapacity = 8

// Server is the drpc Side service.
type Server struct {
	wirepb.DRPCSideUnimplementedServer
	incarnation core.Incarnation
	start       time.Time
	client      upstream.Client
	slots       chan struct{}
	base        context.Context

	mu       sync.Mutex
	attempts map[core.AttemptKey]*attempt
}

// clock returns the side's monotonic clock: the time since its start.
func (s *Server) clock() time.Duration { return time.Since(s.start) }

// load returns the upstream's load.
func (s *Server) load() *wirepb.Load {
	return &wirepb.Load{InFlight: uint32(len(s.slots)), Capacity: thinCapacity}
}

// Probe implements wirepb.DRPCSideServer.
func (s *Server) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	return &wirepb.ProbeReply{
		Incarnation: uint64(s.incarnation),
		SideClockUs: uint64(s.clock().Microseconds()),
		Load:        s.load(),
	}, nil
}

// Run implements wirepb.DRPCSideServer.
func (s *Server) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	key := keyOf(request.GetKey())
	if key.Side != s.incarnation {
		return stream.Send(refusedEvent(key, &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_INCARNATION}))
	}
	a := s.admit(key, request)
	return a.follow(stream.Context(), 0, stream.Send)
}

// admit starts the attempt, or returns the one that has the key already.
func (s *Server) admit(key core.AttemptKey, request *wirepb.RunRequest) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.attempts[key]; ok {
		return known
	}
	remaining := time.Duration(request.GetRemainingMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.base, remaining)
	a := newAttempt(key, cancel)
	s.attempts[key] = a
	go s.execute(ctx, a, request)
	return a
}

// execute carries the attempt out.
func (s *Server) execute(ctx context.Context, a *attempt, request *wirepb.RunRequest) {
	defer a.cancel()
	queued := s.clock()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		a.finish(refusedEvent(a.key, &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_DEADLINE}))
		return
	}
	defer func() { <-s.slots }()
	a.start(uint64((s.clock() - queued).Microseconds()))
	result, err := s.client.Run(ctx, callOf(a.key, request), func(chunk []byte) error {
		a.add(chunk)
		return nil
	})
	switch {
	case err == nil:
		a.finish(a.done(result.Cost, s.load()))
	case fault.Is(err, fault.Refused):
		a.finish(refusedEvent(a.key, &wirepb.Refused{Detail: err.Error(), Load: s.load()}))
	default:
		mayHaveRun := !fault.Is(err, fault.Unavailable)
		a.finish(failedEvent(a.key, &wirepb.Failed{Detail: err.Error(), MayHaveRun: mayHaveRun, Load: s.load()}))
	}
}

// callOf returns the upstream's call of an attempt.
func callOf(key core.AttemptKey, request *wirepb.RunRequest) upstream.Call {
	return upstream.Call{
		ID:        callID(key),
		Workspace: request.GetWorkspace(),
		Model:     request.GetModel(),
		Version:   request.GetVersion(),
		Prefix:    request.GetPrefixHash(),
		Priority:  int(request.GetPriority()),
		MaxTokens: int(request.GetMaxTokens()),
		Input:     request.GetInput(),
		Resume:    request.GetResume(),
	}
}

// Cancel implements wirepb.DRPCSideServer.
func (s *Server) Cancel(_ context.Context, request *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	s.mu.Lock()
	a, ok := s.attempts[keyOf(request.GetKey())]
	s.mu.Unlock()
	if !ok {
		return &wirepb.CancelReply{}, nil
	}
	started := a.look().started != nil
	a.cancel()
	return &wirepb.CancelReply{Started: started}, nil
}

// Acknowledge implements wirepb.DRPCSideServer.
func (s *Server) Acknowledge(_ context.Context, request *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	return &wirepb.AcknowledgeReply{}, nil
}
