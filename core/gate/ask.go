package gate

import (
	"time"

	"acaciawinch/core"
)

// Ticket identifies a claimed attempt: an attempt of a non-idempotent stage.
type Ticket struct {
	// Nonce is the attempt's random number, as in its claim object.
	Nonce uint64
	// Clock is the sidecar's clock at the probe that preceded the claim.
	Clock time.Duration
}

// Attempt is an attempt that is submitted to run.
type Attempt struct {
	Key       core.AttemptKey
	Workspace string
	// Ticket is nil for an idempotent stage.
	Ticket *Ticket
	// Remaining is the time remaining for the stage.
	Remaining time.Duration
	// Priority selects the class; it is clamped to MinPriority to MaxPriority.
	Priority int
	// Weight is the workspace's weight in fair queueing, at least 1.
	Weight int
	// Committed is set if a non-idempotent stage of the request has already run.
	Committed bool
	// Cost is the expected work in the upstream's units: tokens for an engine, otherwise 1.
	Cost float64
	// Model and Version name the model that the engine must have loaded; empty if the
	// upstream is not an engine.
	Model   string
	Version string
}

// The range of priority classes.
const (
	MinPriority = -10
	MaxPriority = 10
)

// Reason is why an attempt is refused. A refused attempt was not run and will not
// be run.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull      Reason = "queue_full"
	ReasonDeadline       Reason = "deadline"
	ReasonDraining       Reason = "draining"
	ReasonIncarnation    Reason = "incarnation"
	ReasonTombstone      Reason = "tombstone"
	ReasonTicketExpired  Reason = "ticket_expired"
	ReasonModelNotLoaded Reason = "model_not_loaded"
	ReasonStalled        Reason = "stalled"
	ReasonCancelled      Reason = "cancelled"
	ReasonUnknownAttempt Reason = "unknown_attempt"
	ReasonInvalid        Reason = "invalid"
	ReasonUpstream       Reason = "upstream_refused"
)

// Verdict is the result of Submit or Attach.
type Verdict int

// The verdicts.
const (
	// Admitted: the attempt is queued.
	Admitted Verdict = iota + 1
	// Attached: the attempt is already known, and the caller follows it. It is not run
	// again.
	Attached
	// Refused: the attempt was not run and will not be run.
	Refused
	// Gone: the attempt may have run, and its output is not kept. It is not run again.
	Gone
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is when the same attempt may be admitted here; zero if that is unknown.
	RetryAfter time.Duration
	// Detail explains the verdict to an operator.
	Detail string
	// Wait and Service are the estimates on which the verdict is based.
	Wait    time.Duration
	Service time.Duration
	// Queued and Running are the counts before the verdict.
	Queued  int
	Running int
}

// ActionKind is the kind of an action that the runtime must carry out.
type ActionKind int

// The kinds of actions.
const (
	// ActionStart passes the attempt to the upstream.
	ActionStart ActionKind = iota + 1
	// ActionRefuse tells the readers of a waiting attempt that it is refused.
	ActionRefuse
	// ActionStop cancels the attempt at the upstream.
	ActionStop
	// ActionDrop drops the kept output; the attempt itself is still remembered.
	ActionDrop
	// ActionForget removes all state of the attempt.
	ActionForget
)

// Action is one step for the runtime. Actions are carried out in order.
type Action struct {
	Kind ActionKind
	Key  core.AttemptKey
	// Reason, RetryAfter and Detail describe a refusal.
	Reason     Reason
	RetryAfter time.Duration
	Detail     string
	// Cause is why an attempt is stopped.
	Cause Cause
	// Waited is how long a started attempt was queued.
	Waited time.Duration
}
