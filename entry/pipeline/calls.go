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

// Bounds of the calls to sides.
const (
	pingTimeout    = 200 * time.Millisecond
	resolveTimeout = time.Second
	cancelTimeout  = time.Second
	// closeDelay is how long the stream of a cancelled attempt is still read, so
	// that its connection ends in order and can be used again.
	closeDelay = 100 * time.Millisecond
)

// target is the side that an attempt was sent to, and the attempt's key there.
type target struct {
	addr        string
	incarnation core.Incarnation
	// claimed is the claim's key of a non-idempotent attempt, else nil.
	claimed *wirepb.ClaimKey
	// key is the attempt's key if its claim sets it, else nil.
	key *wirepb.AttemptKey
}

// targetOf returns the target of a choice.
func targetOf(choice route.Choice) target {
	return target{addr: choice.Addr, incarnation: choice.Incarnation}
}

// claimTarget returns the target that a claim names.
func claimTarget(c claims.Claim) target {
	return target{
		addr:        c.Record.Target.Addr,
		incarnation: c.Record.Target.Incarnation,
		claimed:     c.ClaimKey(),
		key:         c.AttemptKey(),
	}
}

// keyOf returns the attempt's key on the wire.
func (f *flow) keyOf(a *attempt) *wirepb.AttemptKey {
	if a.target.key != nil {
		return a.target.key
	}
	return &wirepb.AttemptKey{
		RequestId:       string(f.req.ID),
		Stage:           f.stages[a.stage].Name,
		Attempt:         a.number,
		SideIncarnation: uint64(a.target.incarnation),
	}
}

// call makes one call to a side on a connection of its own.
func (f *flow) call(ctx context.Context, addr string, do func(context.Context, wirepb.DRPCSideClient) error) error {
	conn := f.runner.opts.Dialer.Conn(ctx, addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	return do(ctx, wirepb.NewDRPCSideClient(conn))
}

// run dispatches an attempt.
func (f *flow) run(r request.Run) {
	a := f.attempts[r.Attempt]
	stage := f.stages[r.Stage]
	a.number = r.Number
	a.sent = time.Now()
	message := &wirepb.RunRequest{
		Key:         f.keyOf(a),
		Workspace:   f.req.Workspace.Name,
		Pipeline:    f.req.Template.Name,
		Claim:       a.target.claimed,
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

// attach follows an attempt on a new stream.
func (f *flow) attach(r request.Attach) {
	a := f.attempts[r.Attempt]
	message := &wirepb.AttachRequest{Key: f.keyOf(a), FromChunk: r.From}
	f.record.attached(a, r)
	f.follow(a, r.After, func(ctx context.Context, side wirepb.DRPCSideClient) (eventStream, error) {
		return side.Attach(ctx, message)
	})
}

// ping asks whether the attempt's side lives. A side of another incarnation has
// lost the attempt, which is as good as dead.
func (f *flow) ping(r request.Ping) {
	a := f.attempts[r.Attempt]
	addr, incarnation, upstream := a.target.addr, a.target.incarnation, a.choice.Upstream
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, pingTimeout)
		defer cancel()
		alive := false
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

// resolve asks a side what became of a claimed attempt.
func (f *flow) resolve(r request.Resolve) {
	a := f.attempts[r.Attempt]
	addr, incarnation := a.target.addr, a.target.incarnation
	message := &wirepb.ResolveRequest{Key: f.keyOf(a), Claim: a.target.claimed}
	go func() {
		if !f.pause(r.After) {
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

// resolutions translates a side's answers.
var resolutions = map[wirepb.ResolveState]request.Resolution{
	wirepb.ResolveState_RESOLVE_DONE:    request.ResolvedDone,
	wirepb.ResolveState_RESOLVE_RUNNING: request.ResolvedRunning,
	wirepb.ResolveState_RESOLVE_NOT_RUN: request.ResolvedNotRun,
	wirepb.ResolveState_RESOLVE_GONE:    request.ResolvedGone,
	wirepb.ResolveState_RESOLVE_FAILED:  request.ResolvedGone,
}

// resolutionOf returns what an answer to Resolve proves. A side of another
// incarnation knows nothing, and a result that does not match its digest is none.
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

// cancelReasons are the reasons of cancellations as messages name them.
var cancelReasons = map[request.CancelReason]wirepb.CancelReason{
	request.CancelHedgeLost:  wirepb.CancelReason_CANCEL_HEDGE_LOST,
	request.CancelDeadline:   wirepb.CancelReason_CANCEL_DEADLINE,
	request.CancelCallerGone: wirepb.CancelReason_CANCEL_CALLER_GONE,
	request.CancelSuperseded: wirepb.CancelReason_CANCEL_SUPERSEDED,
}

// cancelAttempt tells the side to end an attempt. The call outlives the flow: the
// answer to the caller does not wait for it.
func (f *flow) cancelAttempt(r request.Cancel) {
	a := f.attempts[r.Attempt]
	addr, stop := a.target.addr, a.stop
	// The stream is read on after the flow's end, so the flow won't close it.
	a.stop = nil
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

// acknowledge lets the side forget the attempt's result. If it is lost, the side
// forgets by itself.
func (f *flow) acknowledge(r request.Acknowledge) {
	a := f.attempts[r.Attempt]
	addr := a.target.addr
	message := &wirepb.AcknowledgeRequest{Key: f.keyOf(a)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			_, err := side.Acknowledge(ctx, message)
			return err
		})
	}()
}
