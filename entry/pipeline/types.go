// Package pipeline walks admitted requests through the stages of their
// pipelines. The decisions are core/request's; this package carries them out.
package pipeline

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Request is one admitted request.
type Request struct {
	ID        core.RequestID
	Workspace config.Workspace
	Template  config.Template
	// Revision is the configuration under which the request was admitted; it is
	// kept to its end.
	Revision core.Revision
	// Key is the caller's idempotency key, or the request's id if it gave none.
	Key string
	// Deadline is the time allowed from admission.
	Deadline time.Duration
	Body     []byte
}

// Result is how a request ended.
type Result struct {
	Outcome core.Outcome
	// Cause classifies a request that was given up; empty if it was answered.
	Cause Cause
	// Step and Detail say where and why the request was given up.
	Step   string
	Detail string
	// RetryAfter says when to ask again; zero if that is not known.
	RetryAfter time.Duration
}

// Cause says why a request was given up.
type Cause string

// The causes of giving up.
const (
	// CauseOverload: no upstream would have made it in time.
	CauseOverload Cause = "overload"
	// CauseDeadline: the deadline passed.
	CauseDeadline Cause = "deadline"
	// CauseUnavailable: the platform's store can't hold the claim.
	CauseUnavailable Cause = "unavailable"
	// CauseFailed: stages failed and no retry was left.
	CauseFailed Cause = "failed"
	// CauseCallerGone: nobody waits for the answer.
	CauseCallerGone Cause = "caller_gone"
)

// Emit delivers one chunk of the answer to the caller; chunks come in order from
// index zero. An error means that the caller is gone.
type Emit func(index uint64, data []byte) error
