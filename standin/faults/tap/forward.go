package tap

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"acaciawinch/wire/wirepb"
)

// dialTimeout bounds one dial to the side.
const dialTimeout = time.Second

// far is one connection to the side, for one call.
type far struct {
	conn   drpc.Conn
	client wirepb.DRPCSideClient
	broken *atomic.Bool
}

// open dials the side.
func (t *Tap) open(ctx context.Context) (*far, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.target)
	if err != nil {
		return nil, err
	}
	broken := &atomic.Bool{}
	over, err := t.dialer.HandshakeOver(ctx, farConn{Conn: conn, broken: broken}, t.target)
	if err != nil {
		return nil, err
	}
	return &far{conn: over, client: wirepb.NewDRPCSideClient(over), broken: broken}, nil
}

// unary passes one call on. If the side can't be reached, the entry's
// connection breaks as well.
func unary[Q, A any](t *Tap, ctx context.Context, request Q,
	call func(wirepb.DRPCSideClient, context.Context, Q) (A, error)) (A, error) {
	var none A
	f, err := t.open(ctx)
	if err != nil {
		breakNear(ctx)
		return none, err
	}
	defer f.conn.Close()
	answer, err := call(f.client, ctx, request)
	if err != nil && f.broken.Load() {
		breakNear(ctx)
	}
	return answer, err
}

// Probe implements wirepb.DRPCSideServer.
func (t *Tap) Probe(ctx context.Context, r *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	t.pass(Probe, nil, 0)
	return unary(t, ctx, r, wirepb.DRPCSideClient.Probe)
}

// Cancel implements wirepb.DRPCSideServer.
func (t *Tap) Cancel(ctx context.Context, r *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	t.pass(Cancel, r.GetKey(), 0)
	return unary(t, ctx, r, wirepb.DRPCSideClient.Cancel)
}

// Acknowledge implements wirepb.DRPCSideServer.
func (t *Tap) Acknowledge(ctx context.Context, r *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	t.pass(Acknowledge, r.GetKey(), 0)
	return unary(t, ctx, r, wirepb.DRPCSideClient.Acknowledge)
}

// Resolve implements wirepb.DRPCSideServer.
func (t *Tap) Resolve(ctx context.Context, r *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	t.pass(Resolve, r.GetKey(), 0)
	return unary(t, ctx, r, wirepb.DRPCSideClient.Resolve)
}

// Drain implements wirepb.DRPCSideServer.
func (t *Tap) Drain(ctx context.Context, r *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	return unary(t, ctx, r, wirepb.DRPCSideClient.Drain)
}

// sender receives events on their way to the entry.
type sender interface {
	Context() context.Context
	Send(*wirepb.RunEvent) error
}

// receiver gives events that come from the side.
type receiver interface {
	Recv() (*wirepb.RunEvent, error)
}

// Run implements wirepb.DRPCSideServer. A Run that was held is delivered even
// if its sender is gone by then.
func (t *Tap) Run(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	t.runs.Add(1)
	t.pass(Run, r.GetKey(), 0)
	ctx := stream.Context()
	if ctx.Err() != nil {
		t.deliver(context.WithoutCancel(ctx), r)
		return ctx.Err()
	}
	if instead := t.meddled(context.WithoutCancel(ctx), r); instead != nil {
		return stream.Send(instead)
	}
	err := t.follow(ctx, stream, func(f *far, ctx context.Context) (receiver, error) { return f.client.Run(ctx, r) })
	t.replay(context.WithoutCancel(ctx), r)
	return err
}

// Attach implements wirepb.DRPCSideServer.
func (t *Tap) Attach(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
	return t.follow(stream.Context(), stream, func(f *far, ctx context.Context) (receiver, error) {
		return f.client.Attach(ctx, r)
	})
}

// meddled changes a Run as the trial wants and returns what is sent in its place.
func (t *Tap) meddled(ctx context.Context, r *wirepb.RunRequest) *wirepb.RunEvent {
	t.mu.Lock()
	meddle := t.meddle
	t.mu.Unlock()
	if meddle == nil {
		return nil
	}
	besides, instead := meddle(r)
	for _, run := range besides {
		t.deliver(ctx, run)
	}
	return instead
}

// replay sends a Run again as often as the trial wants.
func (t *Tap) replay(ctx context.Context, r *wirepb.RunRequest) {
	t.mu.Lock()
	times := t.replays
	t.mu.Unlock()
	for range times {
		t.deliver(ctx, r)
	}
}

// deliver sends a Run whose events nobody waits for.
func (t *Tap) deliver(ctx context.Context, r *wirepb.RunRequest) {
	f, err := t.open(ctx)
	if err != nil {
		return
	}
	defer f.conn.Close()
	events, err := f.client.Run(ctx, r)
	for err == nil {
		_, err = events.Recv()
	}
}

// follow opens a stream at the side and passes its events on, changed as the
// trial wants.
func (t *Tap) follow(ctx context.Context, to sender, call func(*far, context.Context) (receiver, error)) error {
	f, err := t.open(ctx)
	if err != nil {
		breakNear(ctx)
		return err
	}
	defer f.conn.Close()
	from, err := call(f, ctx)
	if err == nil {
		err = t.copy(to, from)
	}
	if err != nil && f.broken.Load() {
		breakNear(ctx)
	}
	return err
}

// copy passes events on until the side's stream ends.
func (t *Tap) copy(to sender, from receiver) error {
	t.mu.Lock()
	tamper := unchanged
	if t.tamper != nil {
		tamper = t.tamper()
	}
	t.mu.Unlock()
	for {
		event, err := from.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		t.passEvent(event)
		for _, changed := range tamper(event) {
			if err := to.Send(changed); err != nil {
				return err
			}
		}
	}
}

// passEvent holds an event if the trial wants it.
func (t *Tap) passEvent(event *wirepb.RunEvent) {
	switch e := event.GetEvent().(type) {
	case *wirepb.RunEvent_Started:
		t.pass(Started, event.GetKey(), 0)
	case *wirepb.RunEvent_Chunk:
		t.pass(Chunk, event.GetKey(), e.Chunk.GetIndex())
	case *wirepb.RunEvent_Done:
		t.pass(Done, event.GetKey(), 0)
	}
}
