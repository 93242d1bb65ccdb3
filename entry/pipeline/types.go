// Package pipeline runs admitted requests through the stages of their pipelines.
//
// A state machine of core/request, called the machine here, makes the decisions for
// each request. This package carries out the machine's actions and passes it the
// resulting events.
//
// An attempt is one try at a stage. It runs at an upstream and is controlled through
// the sidecar of that upstream. A non-idempotent stage runs only under a claim; see
// core/claim.
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
	// Revision is the configuration revision under which the request was admitted.
	// It applies until the request ends.
	Revision core.Revision
	// Key is the caller's idempotency key. If the caller sent none, KeyGenerated is set
	// and Key is the request's ID.
	Key          string
	KeyGenerated bool
	// Deadline is the time allowed for the request, counted from its admission.
	Deadline time.Duration
	Body     []byte
	// Permit is requested concurrently with the first choices of upstreams; nil if the
	// workspace has no limit.
	Permit Permit
}

// Permit reports whether a request may run within its workspace's limit.
type Permit interface {
	// Decided is closed once Refusal is known.
	Decided() <-chan struct{}
	// Refusal returns nil if the request may run. It is valid once Decided is closed.
	Refusal() *PermitRefusal
}

// PermitRefusal states why a request may not run and when to retry.
type PermitRefusal struct {
	Detail     string
	RetryAfter time.Duration
}

// Result is the result of a request.
type Result struct {
	Outcome core.Outcome
	// Cause classifies a request that was given up; empty if it was answered.
	Cause request.GiveUpCause
	// Step and Detail state where and why the request was given up.
	Step   string
	Detail string
	// RetryAfter is the time after which to retry; zero if it is not known.
	RetryAfter time.Duration
}

// Emit delivers one chunk of the answer to the caller. It is called in order,
// starting at index zero. An error means that the caller has disconnected.
type Emit func(index uint64, data []byte) error

// Router chooses upstreams. *route.Router implements it.
type Router interface {
	Choose(ctx context.Context, need route.Need) (route.Choice, error)
	ObserveLoad(upstream core.UpstreamID, load *wirepb.Load)
	ObserveResult(result route.Result)
	Estimate(service string) latency.Estimate
}

// Claims manages the claims of non-idempotent stages. *claims.Keeper implements it.
type Claims interface {
	Open(ctx context.Context, request claims.OpenRequest) (claims.State, error)
	Reassign(ctx context.Context, owned claims.Claim, target claims.Target) (claims.State, error)
	Release(ctx context.Context, owned claims.Claim) (claims.State, error)
	Finish(ctx context.Context, c claims.Claim, chunks [][]byte) error
}
