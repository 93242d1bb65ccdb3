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

// dialTimeout bounds one dial of the sidecar.
const dialTimeout = time.Second

// sideClient is a connection to the sidecar that serves one call.
type sideClient struct {
	conn   drpc.Conn
	client wirepb.DRPCSideClient
	broken *atomic.Bool
}

// dial connects to the sidecar.
func (t *Tap) dial(ctx context.Context) (*sideClient, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.target)
	if err != nil {
		return nil, err
	}
	broken := &atomic.Bool{}
	drpcConn, err := t.dialer.HandshakeOver(ctx, sideConn{Conn: conn, broken: broken}, t.target)
	if err != nil {
		return nil, err
	}
	return &sideClient{conn: drpcConn, client: wirepb.NewDRPCSideClient(drpcConn), broken: broken}, nil
}

// forwardUnary forwards one call. If the sidecar can't be reached, it breaks the entry's
// connection too.
func forwardUnary[Q, A any](t *Tap, ctx context.Context, request Q,
	call func(wirepb.DRPCSideClient, context.Context, Q) (A, error)) (A, error) {
	var none A
	side, err := t.dial(ctx)
	if err != nil {
		breakEntryConn(ctx)
		return none, err
	}
	defer side.conn.Close()
	reply, err := call(side.client, ctx, request)
	if err != nil && side.broken.Load() {
		breakEntryConn(ctx)
	}
	return reply, err
}

// Probe implements wirepb.DRPCSideServer.
func (t *Tap) Probe(ctx context.Context, r *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	t.holdMessage(Probe, nil, 0)
	return forwardUnary(t, ctx, r, wirepb.DRPCSideClient.Probe)
}

// Cancel implements wirepb.DRPCSideServer.
func (t *Tap) Cancel(ctx context.Context, r *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	t.holdMessage(Cancel, r.GetKey(), 0)
	return forwardUnary(t, ctx, r, wirepb.DRPCSideClient.Cancel)
}

// Acknowledge implements wirepb.DRPCSideServer.
func (t *Tap) Acknowledge(ctx context.Context, r *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	t.holdMessage(Acknowledge, r.GetKey(), 0)
	return forwardUnary(t, ctx, r, wirepb.DRPCSideClient.Acknowledge)
}

// Resolve implements wirepb.DRPCSideServer.
func (t *Tap) Resolve(ctx context.Context, r *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	t.holdMessage(Resolve, r.GetKey(), 0)
	return forwardUnary(t, ctx, r, wirepb.DRPCSideClient.Resolve)
}

// Drain implements wirepb.DRPCSideServer.
func (t *Tap) Drain(ctx context.Context, r *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	return forwardUnary(t, ctx, r, wirepb.DRPCSideClient.Drain)
}

// sender sends events to the entry.
type sender interface {
	Context() context.Context
	Send(*wirepb.RunEvent) error
}

// receiver receives events from the sidecar.
type receiver interface {
	Recv() (*wirepb.RunEvent, error)
}

// Run implements wirepb.DRPCSideServer. It delivers a Run that was held even if its
// sender has disconnected meanwhile.
func (t *Tap) Run(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	t.runs.Add(1)
	t.holdMessage(Run, r.GetKey(), 0)
	ctx := stream.Context()
	if ctx.Err() != nil {
		t.deliver(context.WithoutCancel(ctx), r)
		return ctx.Err()
	}
	if instead := t.rewriteRun(context.WithoutCancel(ctx), r); instead != nil {
		return stream.Send(instead)
	}
	err := t.forwardStream(ctx, stream, func(side *sideClient, ctx context.Context) (receiver, error) { return side.client.Run(ctx, r) })
	t.replay(context.WithoutCancel(ctx), r)
	return err
}

// Attach implements wirepb.DRPCSideServer.
func (t *Tap) Attach(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
	return t.forwardStream(stream.Context(), stream, func(side *sideClient, ctx context.Context) (receiver, error) {
		return side.client.Attach(ctx, r)
	})
}

// rewriteRun applies the test's RunRewrite, if any, and returns the event to send
// instead of forwarding the Run, or nil.
func (t *Tap) rewriteRun(ctx context.Context, r *wirepb.RunRequest) *wirepb.RunEvent {
	t.mu.Lock()
	rewrite := t.runRewrite
	t.mu.Unlock()
	if rewrite == nil {
		return nil
	}
	extra, instead := rewrite(r)
	for _, run := range extra {
		t.deliver(ctx, run)
	}
	return instead
}

// replay sends a Run again as often as Replay has set.
func (t *Tap) replay(ctx context.Context, r *wirepb.RunRequest) {
	t.mu.Lock()
	times := t.replays
	t.mu.Unlock()
	for range times {
		t.deliver(ctx, r)
	}
}

// deliver sends a Run and discards its events.
func (t *Tap) deliver(ctx context.Context, r *wirepb.RunRequest) {
	side, err := t.dial(ctx)
	if err != nil {
		return
	}
	defer side.conn.Close()
	events, err := side.client.Run(ctx, r)
	for err == nil {
		_, err = events.Recv()
	}
}

// forwardStream opens a stream at the sidecar and forwards its events, changed by the
// test's Tamper if one is set.
func (t *Tap) forwardStream(ctx context.Context, to sender, call func(*sideClient, context.Context) (receiver, error)) error {
	side, err := t.dial(ctx)
	if err != nil {
		breakEntryConn(ctx)
		return err
	}
	defer side.conn.Close()
	from, err := call(side, ctx)
	if err == nil {
		err = t.forwardEvents(to, from)
	}
	if err != nil && side.broken.Load() {
		breakEntryConn(ctx)
	}
	return err
}

// forwardEvents forwards events until the sidecar's stream ends.
func (t *Tap) forwardEvents(to sender, from receiver) error {
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
		t.holdEvent(event)
		for _, changed := range tamper(event) {
			if err := to.Send(changed); err != nil {
				return err
			}
		}
	}
}

// holdEvent blocks while the test holds the event.
func (t *Tap) holdEvent(event *wirepb.RunEvent) {
	switch e := event.GetEvent().(type) {
	case *wirepb.RunEvent_Started:
		t.holdMessage(Started, event.GetKey(), 0)
	case *wirepb.RunEvent_Chunk:
		t.holdMessage(Chunk, event.GetKey(), e.Chunk.GetIndex())
	case *wirepb.RunEvent_Done:
		t.holdMessage(Done, event.GetKey(), 0)
	}
}
