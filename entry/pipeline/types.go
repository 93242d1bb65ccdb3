// Package pipeline walks admitted requests through the stages of their
// pipelines. The decisions are core/request's; this package carries them out.
package pipeline

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/latency"
	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
	"acaciawinch/wire/wirepb"
)

// Request is one admitted request.
type Request struct {
	ID        core.RequestID
	Workspace config.Workspace
	Template  config.Template
	// Revision is the configuration under which the request was admitted; it is
	// kept to its end.
	Revision core.Revision
	// Key is the caller's idempotency key, or the request's id if Minted.
	Key    string
	Minted bool
	// Deadline is the time allowed from admission.
	Deadline time.Duration
	Body     []byte
	// Permit is asked for beside the first choices; nil if the workspace has no bound.
	Permit Permit
}

// Permit tells whether a request may run within its workspace's bound.
type Permit interface {
	// Decided is closed once Refusal is known.
	Decided() <-chan struct{}
	// Refusal returns nil if the request may run.
	Refusal() *PermitRefusal
}

// PermitRefusal says why a request may not run, and when to ask again.
type PermitRefusal struct {
	Detail     string
	RetryAfter time.Duration
}

// Result is how a request ended.
type Result struct {
	Outcome core.Outcome
	// Cause classifies a request that was given up; empty if it was answered.
	Cause request.GiveUpCause
	// Step and Detail say where and why the request was given up.
	Step   string
	Detail string
	// RetryAfter says when to ask again; zero if that is not known.
	RetryAfter time.Duration
}

// Emit delivers one chunk of the answer to the caller; chunks come in order from
// index zero. An error means that the caller is gone.
type Emit func(index uint64, data []byte) error

// Router chooses upstreams; *route.Router is one.
type Router interface {
	Choose(ctx context.Context, need route.Need) (route.Choice, error)
	ObserveLoad(upstream core.UpstreamID, load *wirepb.Load)
	ObserveResult(result route.Result)
	Estimate(service string) latency.Estimate
}

// Claims keeps the claims of non-idempotent stages; *claims.Keeper is one.
type Claims interface {
	Open(ctx context.Context, ask claims.Ask) (claims.Held, error)
	Reassign(ctx context.Context, owned claims.Claim, target claims.Target) (claims.Held, error)
	Release(ctx context.Context, owned claims.Claim) (claims.Held, error)
	Finish(ctx context.Context, c claims.Claim, chunks [][]byte) error
}
