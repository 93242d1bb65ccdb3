package pipeline

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/core/fault"
	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
)

// Bounds of the calls that outlive the caller's answer.
const (
	finishTimeout  = 5 * time.Second
	releaseTimeout = 2 * time.Second
)

// claimTargetOf returns the claim's form of a choice.
func claimTargetOf(choice route.Choice) claims.Target {
	return claims.Target{
		Upstream:    choice.Upstream,
		Addr:        choice.Addr,
		Zone:        choice.Zone,
		Incarnation: choice.Incarnation,
		SideClockUS: choice.SideClockUS,
	}
}

// openClaim claims a stage for the upstream chosen for an attempt.
func (f *flow) openClaim(r request.OpenClaim) {
	a := f.attempts[r.Attempt]
	a.number = r.Number
	ask := claims.Ask{
		Workspace:      f.req.Workspace.Name,
		Pipeline:       f.req.Template.Name,
		Key:            f.req.Key,
		Minted:         f.req.Minted,
		BodyDigest:     bodyDigest(f.req),
		Request:        f.req.ID,
		Stage:          f.stages[r.Stage].Name,
		Attempt:        r.Number,
		Target:         claimTargetOf(a.choice),
		DispatchWithin: r.DispatchWithin,
	}
	f.claim(a, func(ctx context.Context) (claims.Held, error) {
		return f.runner.opts.Claims.Open(ctx, ask)
	})
}

// reassign moves a stage's claim to another upstream.
func (f *flow) reassign(r request.Reassign) {
	a := f.attempts[r.Attempt]
	a.number = r.Number
	owned, target := f.claims[r.Stage], claimTargetOf(a.choice)
	f.claim(a, func(ctx context.Context) (claims.Held, error) {
		return f.runner.opts.Claims.Reassign(ctx, owned, target)
	})
}

// claim makes a call of the claim protocol and posts its verdict. The call goes
// on when the request is given up, because its verdict says what to release.
func (f *flow) claim(a *attempt, call func(context.Context) (claims.Held, error)) {
	stage, timeout := a.stage, time.Until(f.record.deadline)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, max(timeout, time.Millisecond))
		defer cancel()
		held, err := call(ctx)
		event := claimedOf(f.req.ID, a.id, held, err)
		f.post(post{event: event, apply: func() {
			f.claims[stage] = held.Claim
			if event.Status == request.ClaimMine || event.Status == request.ClaimRunning {
				a.target = claimTarget(held.Claim)
			}
			f.record.claimed(a, event)
		}})
	}()
}

// claimStatuses translates the keeper's verdicts.
var claimStatuses = map[claims.Status]request.ClaimStatus{
	claims.Mine:        request.ClaimMine,
	claims.Done:        request.ClaimDone,
	claims.Running:     request.ClaimRunning,
	claims.Unknown:     request.ClaimUnknown,
	claims.Unavailable: request.ClaimUnavailable,
	claims.NotRun:      request.ClaimNotRun,
}

// claimedOf returns the machine's form of a verdict for the request named own. An
// error other than that of a wrong body, or a verdict that is not known, counts
// as unknown.
//
// A claim that the request holds itself is no sign of another request's: what its
// own attempt did, the machine knows. Thus an attempt that its side refused is
// proved not run also if the store is down before the claim names another one.
func claimedOf(own core.RequestID, id request.AttemptID, held claims.Held, err error) request.Claimed {
	event := request.Claimed{
		Attempt:    id,
		Status:     claimStatuses[held.Status],
		Chunks:     held.Chunks,
		Recorded:   held.Recorded,
		RetryAfter: held.RetryAfter,
		Detail:     held.Reason,
	}
	holder := held.Claim.Record.Request
	event.Seen = holder != "" && holder != own && !held.KeyNotRun
	switch {
	case fault.Is(err, fault.Invalid):
		event.Status = request.ClaimInvalid
		event.Detail = err.Error()
	case err != nil || event.Status == 0:
		event.Status = request.ClaimUnknown
		if err != nil {
			event.Detail = err.Error()
		}
	}
	return event
}

// release gives back a claim under which nothing ran.
func (f *flow) release(r request.Release) {
	owned := f.claims[r.Stage]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, _ = f.runner.opts.Claims.Release(ctx, owned) // if it is lost, the next asker asks the side
		f.postEvent(request.Released(r))
	}()
}

// finish records a stage's result in its claim.
func (f *flow) finish(r request.Finish) {
	owned := f.claims[r.Stage]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		err := f.runner.opts.Claims.Finish(ctx, owned, r.Chunks)
		// The side's copy is the only one if the result is too large for the claim.
		kept := err == nil && sizeOf(r.Chunks) <= claim.DefaultRules().MaxResultBytes
		f.postEvent(request.Finished{Attempt: r.Attempt, Recorded: kept})
	}()
}

// sizeOf returns the bytes of all chunks.
func sizeOf(chunks [][]byte) int {
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
	}
	return size
}
