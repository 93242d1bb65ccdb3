package request

import (
	"time"

	"acaciawinch/core"
)

// Action is an operation that the runtime executes for the request.
type Action interface{ action() }

// Cause is the reason for an attempt; the cost of the attempt is accounted to it.
type Cause string

// The causes of attempts.
const (
	CauseFirst  Cause = "first"
	CauseRetry  Cause = "retry"
	CauseHedge  Cause = "hedge"
	CauseResume Cause = "resume"
	// CauseCheck marks no real attempt, only a check whether a later stage can finish
	// in time.
	CauseCheck Cause = "check"
)

// Choose requests an upstream; the response is Chosen or NotChosen.
type Choose struct {
	Attempt AttemptID
	Stage   int
	// Remaining is the time that remains for the stage; zero sets no bound.
	Remaining time.Duration
	// Exclude lists upstreams not to choose.
	Exclude []core.UpstreamID
	Hedge   bool
	// Check is set if the choice only checks whether the stage can finish in time.
	Check bool
	// After delays the choice.
	After time.Duration
}

// Run dispatches an attempt to the upstream chosen for it.
type Run struct {
	Attempt AttemptID
	Stage   int
	// Number counts the attempts of the stage from one. A claimed attempt runs
	// under the number that its claim holds instead.
	Number    uint32
	Cause     Cause
	Remaining time.Duration
	// Resume is the number of chunks of the stage's output that were received already,
	// after which the attempt starts.
	Resume int
	Reason string
}

// Attach opens a new stream of an attempt, starting with the attempt's own chunk
// From. An earlier stream of the attempt is closed.
type Attach struct {
	Attempt AttemptID
	Stage   int
	From    uint64
	// After delays the call.
	After  time.Duration
	Reason string
}

// Ping is a health check of an attempt's sidecar; the response is Pinged.
type Ping struct{ Attempt AttemptID }

// Resolve queries a sidecar for the outcome of a claimed attempt; the response is
// Resolved.
type Resolve struct {
	Attempt AttemptID
	Stage   int
	After   time.Duration
	Reason  string
}

// CancelReason is the reason to which the cost of a cancelled attempt is accounted.
type CancelReason string

// The reasons to cancel an attempt.
const (
	CancelHedgeLost  CancelReason = "hedge_lost"
	CancelDeadline   CancelReason = "deadline"
	CancelCallerGone CancelReason = "caller_gone"
	CancelSuperseded CancelReason = "superseded"
)

// Cancel cancels an attempt; the response is Cancelled.
type Cancel struct {
	Attempt AttemptID
	Stage   int
	Reason  CancelReason
	Detail  string
}

// Acknowledge confirms to a sidecar that the attempt's result was received. It has
// no response.
type Acknowledge struct{ Attempt AttemptID }

// End is how an attempt ended, as the entry sees it.
type End string

// The ends of attempts.
const (
	EndOK        End = "ok"
	EndRefused   End = "refused"
	EndFailed    End = "failed"
	EndSilent    End = "silent"
	EndCancelled End = "cancelled"
)

// Report reports how an attempt ended. There is exactly one Report for each attempt
// for which an upstream was chosen. It has no response.
type Report struct {
	Attempt AttemptID
	Stage   int
	End     End
	// Sent is set if the attempt was dispatched. Wasted is the reason why its work
	// contributed to no answer, or empty. Duration is the time since the dispatch.
	Sent     bool
	Wasted   string
	Duration time.Duration
}

// OpenClaim claims the stage for the attempt and its chosen upstream; the response
// is Claimed.
type OpenClaim struct {
	Attempt AttemptID
	Stage   int
	Number  uint32
	// DispatchWithin is how long the earlier stages are expected to take.
	DispatchWithin time.Duration
}

// Reassign moves the claim to the upstream chosen for the attempt, after proof
// that the previous attempt has not run; the response is Claimed.
type Reassign struct {
	Attempt AttemptID
	Stage   int
	Number  uint32
	Reason  string
}

// Release gives up a claim under which no Run was sent or every Run was refused; the
// response is Released.
type Release struct{ Stage int }

// Finish records the stage's result in the claim; the response is Finished.
type Finish struct {
	Attempt AttemptID
	Stage   int
	Chunks  [][]byte
}

// Emit delivers one chunk of the answer to the caller. Chunks are in order.
type Emit struct {
	Index uint64
	Data  []byte
}

// Note records a decision that causes no other action.
type Note struct {
	Attempt AttemptID
	Stage   int
	// Kind classifies the decision; Reason explains it.
	Kind   NoteKind
	Reason string
}

// NoteKind is the kind of a recorded decision.
type NoteKind string

// The kinds of notes.
const (
	NoteDropped     NoteKind = "dropped"
	NoteAttemptKept NoteKind = "stayed"
	NoteNoHedge     NoteKind = "no_hedge"
	NoteResultKept  NoteKind = "kept_result"
	NoteReplaced    NoteKind = "left"
	NoteSettling    NoteKind = "settling"
	// NoteTrial: a stage is tried although its upstreams are estimated to be too slow.
	NoteTrial NoteKind = "trial"
	// NoteBug: a state chart was violated.
	NoteBug NoteKind = "bug"
)

// GiveUpCause classifies why a request was given up.
type GiveUpCause string

// The causes of giving up.
const (
	// GiveUpOverload: no upstream would have finished in time.
	GiveUpOverload GiveUpCause = "overload"
	// GiveUpNoUpstream: no upstream responds or is fit for the work.
	GiveUpNoUpstream GiveUpCause = "no_upstream"
	// GiveUpUnavailable: the platform's store can't hold the claim.
	GiveUpUnavailable GiveUpCause = "unavailable"
	// GiveUpConflict: the idempotency key was used with another body.
	GiveUpConflict GiveUpCause = "conflict"
	// GiveUpLimit: the limit of the workspace is reached.
	GiveUpLimit GiveUpCause = "limit"
	// GiveUpDeadline: the deadline passed.
	GiveUpDeadline GiveUpCause = "deadline"
	// GiveUpFailed: attempts failed and no further retry was allowed.
	GiveUpFailed GiveUpCause = "failed"
	// GiveUpUnresolved: a claimed attempt may have run and its outcome can't be resolved.
	GiveUpUnresolved GiveUpCause = "unresolved"
	// GiveUpCallerGone: the caller no longer waits for the answer.
	GiveUpCallerGone GiveUpCause = "caller_gone"
)

// Answer is the final result of the request for the caller. Each request has
// exactly one.
type Answer struct {
	Outcome core.Outcome
	// Cause is empty if the outcome is answered.
	Cause GiveUpCause
	// Step and Detail describe where and why the request was given up.
	Step   string
	Detail string
	// RetryAfter is when the caller may retry, or zero if that is not known.
	RetryAfter time.Duration
}

func (Choose) action()      {}
func (Run) action()         {}
func (Attach) action()      {}
func (Ping) action()        {}
func (Resolve) action()     {}
func (Cancel) action()      {}
func (Acknowledge) action() {}
func (Report) action()      {}
func (OpenClaim) action()   {}
func (Reassign) action()    {}
func (Release) action()     {}
func (Finish) action()      {}
func (Emit) action()        {}
func (Note) action()        {}
func (Answer) action()      {}
