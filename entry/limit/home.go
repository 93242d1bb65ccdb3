package limit

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/share"
	"acaciawinch/wire/wirepb"
)

// maxLifetime bounds the lifetime of a permit that an entry may request of a home: the
// longest deadline that can be declared, plus its grace.
const maxLifetime = time.Minute + share.Grace

// AcquirePermit handles another entry's request for a permit: as the home, this entry
// grants or refuses it.
func (l *Limiter) AcquirePermit(_ context.Context, request *wirepb.AcquirePermitRequest) (*wirepb.AcquirePermitReply, error) {
	key := request.GetKey()
	if key.GetWorkspace() == "" || request.GetBound() == 0 {
		return nil, fault.New(fault.Invalid, "limit.acquire", key.GetWorkspace(), "the workspace or the bound is missing")
	}
	response := l.acquireLocal(share.AcquireRequest{
		Workspace: key.GetWorkspace(),
		Part:      int(key.GetPart()),
		Bound:     int(request.GetBound()),
		Permit:    share.PermitID(key.GetPermit()),
		TTL:       min(time.Duration(request.GetLifeMs())*time.Millisecond, maxLifetime),
		Running:   request.GetRunning(),
	})
	return &wirepb.AcquirePermitReply{
		Granted:     response.Granted,
		HoldMs:      uint32(response.Hold.Milliseconds()),
		Incarnation: uint64(l.opts.Incarnation),
	}, nil
}

// ReleasePermit handles another entry's release of a permit that this entry, as the home,
// counts.
func (l *Limiter) ReleasePermit(_ context.Context, request *wirepb.ReleasePermitRequest) (*wirepb.ReleasePermitReply, error) {
	key := request.GetKey()
	l.releaseLocal(key.GetWorkspace(), int(key.GetPart()), share.PermitID(key.GetPermit()))
	return &wirepb.ReleasePermitReply{}, nil
}

// acquireLocal requests a permit from this entry's own ledger.
func (l *Limiter) acquireLocal(request share.AcquireRequest) share.AcquireResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	response := l.ledger.Acquire(time.Now(), request)
	l.metrics.respondedAsHome(response)
	l.metrics.homePermits.Update(float64(l.ledger.Permits()))
	return response
}

// releaseLocal releases a permit in this entry's own ledger.
func (l *Limiter) releaseLocal(workspace string, part int, permit share.PermitID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Release(time.Now(), workspace, part, permit)
	l.metrics.homePermits.Update(float64(l.ledger.Permits()))
}

// acquireFrom requests a permit from a home, which may be this entry.
func (l *Limiter) acquireFrom(ctx context.Context, home share.Home, request share.AcquireRequest) (share.AcquireResponse, core.Incarnation, error) {
	if home.Name == l.opts.Self {
		return l.acquireLocal(request), l.opts.Incarnation, nil
	}
	conn := l.opts.Dialer.Conn(ctx, home.Addr)
	defer func() { _ = conn.Close() }() // the call is over, and the connection is not reused if closing it fails
	reply, err := wirepb.NewDRPCEntryClient(conn).AcquirePermit(ctx, &wirepb.AcquirePermitRequest{
		Key:     permitKey(request.Workspace, request.Part, request.Permit),
		Bound:   uint32(request.Bound),
		LifeMs:  uint32(request.TTL.Milliseconds()),
		Running: request.Running,
	})
	if err != nil {
		return share.AcquireResponse{}, 0, err
	}
	response := share.AcquireResponse{Granted: reply.GetGranted(), Hold: time.Duration(reply.GetHoldMs()) * time.Millisecond}
	return response, core.Incarnation(reply.GetIncarnation()), nil
}

// releaseAt releases a permit at a home, which may be this entry.
func (l *Limiter) releaseAt(home share.Home, workspace string, part int, permit share.PermitID) {
	if home.Name == l.opts.Self {
		l.releaseLocal(workspace, part, permit)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	conn := l.opts.Dialer.Conn(ctx, home.Addr)
	defer func() { _ = conn.Close() }() // the call is over, and the connection is not reused if closing it fails
	request := &wirepb.ReleasePermitRequest{Key: permitKey(workspace, part, permit)}
	if _, err := wirepb.NewDRPCEntryClient(conn).ReleasePermit(ctx, request); err != nil {
		l.metrics.lostReleases.Inc(1)
	}
}

// permitKey returns the key of a permit on the wire.
func permitKey(workspace string, part int, permit share.PermitID) *wirepb.PermitKey {
	return &wirepb.PermitKey{Workspace: workspace, Part: uint32(part), Permit: uint64(permit)}
}
