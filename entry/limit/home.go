package limit

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/share"
	"acaciawinch/wire/wirepb"
)

// maxLife bounds what a home believes of a permit's life: the longest deadline
// that can be declared, with its grace.
const maxLife = time.Minute + share.Grace

// AcquirePermit answers as a home.
func (l *Limiter) AcquirePermit(_ context.Context, request *wirepb.AcquirePermitRequest) (*wirepb.AcquirePermitReply, error) {
	key := request.GetKey()
	if key.GetWorkspace() == "" || request.GetBound() == 0 {
		return nil, fault.New(fault.Invalid, "limit.acquire", key.GetWorkspace(), "no workspace or no bound")
	}
	answer := l.acquire(share.Ask{
		Workspace: key.GetWorkspace(),
		Part:      int(key.GetPart()),
		Bound:     int(request.GetBound()),
		Permit:    share.PermitID(key.GetPermit()),
		Life:      min(time.Duration(request.GetLifeMs())*time.Millisecond, maxLife),
		Running:   request.GetRunning(),
	})
	return &wirepb.AcquirePermitReply{
		Granted:     answer.Granted,
		HoldMs:      uint32(answer.Hold.Milliseconds()),
		Incarnation: uint64(l.opts.Incarnation),
	}, nil
}

// ReleasePermit takes a permit back as a home.
func (l *Limiter) ReleasePermit(_ context.Context, request *wirepb.ReleasePermitRequest) (*wirepb.ReleasePermitReply, error) {
	key := request.GetKey()
	l.takeBack(key.GetWorkspace(), int(key.GetPart()), share.PermitID(key.GetPermit()))
	return &wirepb.ReleasePermitReply{}, nil
}

// acquire asks the own ledger.
func (l *Limiter) acquire(a share.Ask) share.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.ledger.Acquire(time.Now(), a)
	l.metrics.answered(answer)
	l.metrics.out.Update(float64(l.ledger.Permits()))
	return answer
}

// takeBack tells the own ledger.
func (l *Limiter) takeBack(workspace string, part int, permit share.PermitID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Release(time.Now(), workspace, part, permit)
	l.metrics.out.Update(float64(l.ledger.Permits()))
}

// ask asks a home, which may be this entry.
func (l *Limiter) ask(ctx context.Context, home share.Home, a share.Ask) (share.Answer, core.Incarnation, error) {
	if home.Name == l.opts.Self {
		return l.acquire(a), l.opts.Incarnation, nil
	}
	conn := l.opts.Dialer.Conn(ctx, home.Addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	reply, err := wirepb.NewDRPCEntryClient(conn).AcquirePermit(ctx, &wirepb.AcquirePermitRequest{
		Key:     keyOf(a.Workspace, a.Part, a.Permit),
		Bound:   uint32(a.Bound),
		LifeMs:  uint32(a.Life.Milliseconds()),
		Running: a.Running,
	})
	if err != nil {
		return share.Answer{}, 0, err
	}
	answer := share.Answer{Granted: reply.GetGranted(), Hold: time.Duration(reply.GetHoldMs()) * time.Millisecond}
	return answer, core.Incarnation(reply.GetIncarnation()), nil
}

// release gives a permit back to a home, which may be this entry.
func (l *Limiter) release(home share.Home, workspace string, part int, permit share.PermitID) {
	if home.Name == l.opts.Self {
		l.takeBack(workspace, part, permit)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	conn := l.opts.Dialer.Conn(ctx, home.Addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	request := &wirepb.ReleasePermitRequest{Key: keyOf(workspace, part, permit)}
	if _, err := wirepb.NewDRPCEntryClient(conn).ReleasePermit(ctx, request); err != nil {
		l.metrics.lost.Inc(1)
	}
}

// keyOf returns a permit's key on the wire.
func keyOf(workspace string, part int, permit share.PermitID) *wirepb.PermitKey {
	return &wirepb.PermitKey{Workspace: workspace, Part: uint32(part), Permit: uint64(permit)}
}
