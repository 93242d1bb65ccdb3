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

// Timeouts of the claim calls that may continue after the caller has its answer.
const (
	finishTimeout  = 5 * time.Second
	releaseTimeout = 2 * time.Second
)

// claimTargetFromChoice converts a choice to the target that a claim records.
func claimTargetFromChoice(choice route.Choice) claims.Target {
	return claims.Target{
		Upstream:       choice.Upstream,
		Addr:           choice.Addr,
		Zone:           choice.Zone,
		Incarnation:    choice.Incarnation,
		SidecarClockUS: choice.SidecarClockUS,
	}
}

// openClaim claims a stage for the upstream chosen for an attempt.
func (f *flow) openClaim(r request.OpenClaim) {
	a := f.attempts[r.Attempt]
	a.number = r.Number
	claimRequest := claims.OpenRequest{
		Workspace:      f.req.Workspace.Name,
		Pipeline:       f.req.Template.Name,
		Key:            f.req.Key,
		KeyGenerated:   f.req.KeyGenerated,
		BodyDigest:     bodyDigest(f.req),
		Request:        f.req.ID,
		Stage:          f.stages[r.Stage].Name,
		Attempt:        r.Number,
		Target:         claimTargetFromChoice(a.choice),
		DispatchWithin: r.DispatchWithin,
	}
	f.callClaims(a, func(ctx context.Context) (claims.State, error) {
		return f.runner.opts.Claims.Open(ctx, claimRequest)
	})
}

// reassign moves a stage's claim to another upstream.
func (f *flow) reassign(r request.Reassign) {
	a := f.attempts[r.Attempt]
	a.number = r.Number
	owned, target := f.claims[r.Stage], claimTargetFromChoice(a.choice)
	f.callClaims(a, func(ctx context.Context) (claims.State, error) {
		return f.runner.opts.Claims.Reassign(ctx, owned, target)
	})
}

// callClaims makes one call of the claim protocol and posts its verdict. The call
// continues after the request is given up, because its verdict tells which claim to
// release.
func (f *flow) callClaims(a *attempt, call func(context.Context) (claims.State, error)) {
	stage, timeout := a.stage, time.Until(f.record.deadline)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, max(timeout, time.Millisecond))
		defer cancel()
		verdict, err := call(ctx)
		event := claimedEvent(f.req.ID, a.id, verdict, err)
		f.post(post{event: event, apply: func() {
			f.claims[stage] = verdict.Claim
			if event.Status == request.ClaimOwned || event.Status == request.ClaimRunning {
				a.target = targetFromClaim(verdict.Claim)
			}
			f.record.claimed(a, event)
		}})
	}()
}

// claimStatuses maps the verdicts of claims.Keeper to the machine's.
var claimStatuses = map[claims.Status]request.ClaimStatus{
	claims.Owned:       request.ClaimOwned,
	claims.Done:        request.ClaimDone,
	claims.Running:     request.ClaimRunning,
	claims.Unknown:     request.ClaimUnknown,
	claims.Unavailable: request.ClaimUnavailable,
	claims.NotRun:      request.ClaimNotRun,
}

// claimedEvent converts a verdict on a claim of the request requestID to the
// machine's event. An error counts as status unknown, and so does a status that is
// not listed; only the error for a key reused with another body is reported as
// invalid.
//
// MayHaveRun is set only for the claim of another request, because the machine knows what
// this request's own attempt did. An attempt that its sidecar refused is therefore
// proved not run even if the store goes down before the claim is reassigned.
func claimedEvent(requestID core.RequestID, id request.AttemptID, verdict claims.State, err error) request.Claimed {
	event := request.Claimed{
		Attempt:    id,
		Status:     claimStatuses[verdict.Status],
		Chunks:     verdict.Chunks,
		Recorded:   verdict.Recorded,
		RetryAfter: verdict.RetryAfter,
		Detail:     verdict.Reason,
	}
	holder := verdict.Claim.Record.Request
	event.MayHaveRun = holder != "" && holder != requestID && !verdict.KeyNotRun
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

// release gives up a claim under which nothing ran.
func (f *flow) release(r request.Release) {
	owned := f.claims[r.Stage]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_, _ = f.runner.opts.Claims.Release(ctx, owned) // if the release fails, the next request with the key queries the sidecar
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
		// A result that is too large for the claim is stored at the sidecar only.
		recorded := err == nil && totalSize(r.Chunks) <= claim.DefaultRules().MaxResultBytes
		f.postEvent(request.Finished{Attempt: r.Attempt, Recorded: recorded})
	}()
}

// totalSize returns the size of all chunks in bytes.
func totalSize(chunks [][]byte) int {
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
	}
	return size
}
