package pipeline

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
	"acaciawinch/wire/wirepb"
)

// Timeouts of the calls to sidecars.
const (
	pingTimeout    = 200 * time.Millisecond
	resolveTimeout = time.Second
	cancelTimeout  = time.Second
	// closeDelay is how long the stream of a cancelled attempt is still read, so
	// that the stream ends in order and its connection can be reused.
	closeDelay = 100 * time.Millisecond
)

// target is the sidecar that an attempt is sent to, and the attempt's key there.
type target struct {
	addr        string
	incarnation core.Incarnation
	// claimKey is the key of a non-idempotent attempt's claim, otherwise nil.
	claimKey *wirepb.ClaimKey
	// attemptKey is the attempt's key if its claim sets one, otherwise nil.
	attemptKey *wirepb.AttemptKey
}

// targetFromChoice returns the target that the router chose.
func targetFromChoice(choice route.Choice) target {
	return target{addr: choice.Addr, incarnation: choice.Incarnation}
}

// targetFromClaim returns the target that a claim names.
func targetFromClaim(c claims.Claim) target {
	return target{
		addr:        c.Record.Target.Addr,
		incarnation: c.Record.Target.Incarnation,
		claimKey:    c.ClaimKey(),
		attemptKey:  c.AttemptKey(),
	}
}

// keyOf returns the attempt's key on the wire.
func (f *flow) keyOf(a *attempt) *wirepb.AttemptKey {
	if a.target.attemptKey != nil {
		return a.target.attemptKey
	}
	return &wirepb.AttemptKey{
		RequestId:       string(f.req.ID),
		Stage:           f.stages[a.stage].Name,
		Attempt:         a.number,
		SideIncarnation: uint64(a.target.incarnation),
	}
}

// call makes one call to a sidecar on its own connection.
func (f *flow) call(ctx context.Context, addr string, send func(context.Context, wirepb.DRPCSideClient) error) error {
	conn := f.runner.opts.Dialer.Conn(ctx, addr)
	defer func() { _ = conn.Close() }() // the call has ended; a connection that fails to close is not reused
	return send(ctx, wirepb.NewDRPCSideClient(conn))
}

// run dispatches an attempt and follows its events.
func (f *flow) run(r request.Run) {
	a := f.attempts[r.Attempt]
	stage := f.stages[r.Stage]
	a.number = r.Number
	a.sentAt = time.Now()
	message := &wirepb.RunRequest{
		Key:         f.keyOf(a),
		Workspace:   f.req.Workspace.Name,
		Pipeline:    f.req.Template.Name,
		Claim:       a.target.claimKey,
		RemainingMs: uint64(max(r.Remaining.Milliseconds(), 1)),
		Priority:    int32(f.req.Workspace.Priority),
		Weight:      uint32(max(f.req.Workspace.Weight, 1)),
		Model:       stage.Model,
		Version:     stage.Version,
		PrefixHash:  stage.prefixHash,
		MaxTokens:   uint32(stage.MaxTokens),
		Input:       f.input(r.Stage),
		Resume:      f.machine.Output(r.Stage)[:r.Resume],
		Revision:    uint64(f.req.Revision),
		Hedge:       r.Cause == request.CauseHedge,
		Committed:   committed(f.req.Template, r.Stage),
	}
	f.record.dispatched(a, r)
	f.follow(a, 0, func(ctx context.Context, side wirepb.DRPCSideClient) (eventStream, error) {
		return side.Run(ctx, message)
	})
}

// attach follows a dispatched attempt on a new stream.
func (f *flow) attach(r request.Attach) {
	a := f.attempts[r.Attempt]
	message := &wirepb.AttachRequest{Key: f.keyOf(a), FromChunk: r.From}
	f.record.attached(a, r)
	f.follow(a, r.After, func(ctx context.Context, side wirepb.DRPCSideClient) (eventStream, error) {
		return side.Attach(ctx, message)
	})
}

// ping checks whether the attempt's sidecar is alive. A sidecar that responds with
// another incarnation has lost the attempt and counts as dead.
func (f *flow) ping(r request.Ping) {
	a := f.attempts[r.Attempt]
	addr, incarnation, upstream := a.target.addr, a.target.incarnation, a.choice.Upstream
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, pingTimeout)
		defer cancel()
		alive := false
		// A failed call leaves alive unset.
		_ = f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			reply, err := side.Probe(ctx, &wirepb.ProbeRequest{Revision: uint64(f.runner.opts.Revision())})
			if err != nil {
				return err
			}
			alive = reply.GetIncarnation() == uint64(incarnation)
			f.runner.opts.Router.ObserveLoad(upstream, reply.GetLoad())
			f.runner.opts.NoteRevision(core.Revision(reply.GetRevision()), addr)
			return nil
		})
		f.postEvent(request.Pinged{Attempt: r.Attempt, Alive: alive})
	}()
}

// resolve queries a sidecar for the state of a claimed attempt.
func (f *flow) resolve(r request.Resolve) {
	a := f.attempts[r.Attempt]
	addr, incarnation := a.target.addr, a.target.incarnation
	message := &wirepb.ResolveRequest{Key: f.keyOf(a), Claim: a.target.claimKey}
	go func() {
		if !f.sleep(r.After) {
			return
		}
		ctx, cancel := context.WithTimeout(f.ctx, resolveTimeout)
		defer cancel()
		event := request.Resolved{Attempt: r.Attempt, Resolution: request.ResolvedUnreachable}
		err := f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			reply, err := side.Resolve(ctx, message)
			if err == nil {
				event.Resolution = resolutionOf(reply, incarnation)
				event.Chunks = reply.GetChunks()
				event.Detail = reply.GetDetail()
			}
			return err
		})
		if err != nil {
			event.Detail = err.Error()
		}
		f.post(post{event: event, apply: func() { f.record.resolved(a, event) }})
	}()
}

// resolutions maps the states of a sidecar's Resolve response to resolutions.
var resolutions = map[wirepb.ResolveState]request.Resolution{
	wirepb.ResolveState_RESOLVE_DONE:    request.ResolvedDone,
	wirepb.ResolveState_RESOLVE_RUNNING: request.ResolvedRunning,
	wirepb.ResolveState_RESOLVE_NOT_RUN: request.ResolvedNotRun,
	wirepb.ResolveState_RESOLVE_GONE:    request.ResolvedGone,
	wirepb.ResolveState_RESOLVE_FAILED:  request.ResolvedGone,
}

// resolutionOf returns what a response to Resolve proves. A sidecar of another
// incarnation knows nothing of the attempt, and a result that does not match its
// digest is discarded: both count as gone.
func resolutionOf(reply *wirepb.ResolveReply, incarnation core.Incarnation) request.Resolution {
	if reply.GetIncarnation() != uint64(incarnation) {
		return request.ResolvedGone
	}
	if reply.GetState() != wirepb.ResolveState_RESOLVE_DONE {
		if known, ok := resolutions[reply.GetState()]; ok {
			return known
		}
		return request.ResolvedGone
	}
	digest := xxhash.New()
	for _, chunk := range reply.GetChunks() {
		_, _ = digest.Write(chunk) // never fails
	}
	if digest.Sum64() != reply.GetDigest() {
		return request.ResolvedGone
	}
	return request.ResolvedDone
}

// cancelReasons maps the reasons of cancellations to their values on the wire.
var cancelReasons = map[request.CancelReason]wirepb.CancelReason{
	request.CancelHedgeLost:  wirepb.CancelReason_CANCEL_HEDGE_LOST,
	request.CancelDeadline:   wirepb.CancelReason_CANCEL_DEADLINE,
	request.CancelCallerGone: wirepb.CancelReason_CANCEL_CALLER_GONE,
	request.CancelSuperseded: wirepb.CancelReason_CANCEL_SUPERSEDED,
}

// cancelAttempt tells the sidecar to end an attempt. The call outlives the flow, so
// that the caller's answer does not wait for it.
func (f *flow) cancelAttempt(r request.Cancel) {
	a := f.attempts[r.Attempt]
	addr, stop := a.target.addr, a.cancelStream
	// The stream may be read after the flow has ended, so the flow must not close it.
	a.cancelStream = nil
	message := &wirepb.CancelRequest{Key: f.keyOf(a), Reason: cancelReasons[r.Reason]}
	f.record.cancelled(a, r)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		event := request.Cancelled{Attempt: r.Attempt}
		err := f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			reply, err := side.Cancel(ctx, message)
			event.Started = reply.GetStarted()
			return err
		})
		event.Confirmed = err == nil
		f.postEvent(event)
		if stop != nil {
			time.AfterFunc(closeDelay, stop)
		}
	}()
}

// acknowledge lets the sidecar delete the attempt's result. If the acknowledgement
// is lost, the sidecar deletes the result on its own.
func (f *flow) acknowledge(r request.Acknowledge) {
	a := f.attempts[r.Attempt]
	addr := a.target.addr
	message := &wirepb.AcknowledgeRequest{Key: f.keyOf(a)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// Without the acknowledgement the side keeps the result until it expires.
		_ = f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			_, err := side.Acknowledge(ctx, message)
			return err
		})
	}()
}
