package request

import (
	"time"

	"acaciawinch/core"
)

// Action is something that the runtime does for the request.
type Action interface{ action() }

// Cause says why an attempt is made; cost is charged to it.
type Cause string

// The causes of attempts.
const (
	CauseFirst  Cause = "first"
	CauseRetry  Cause = "retry"
	CauseHedge  Cause = "hedge"
	CauseResume Cause = "resume"
	// CauseCheck is of no attempt: it only asks whether a later stage can be made.
	CauseCheck Cause = "check"
)

// Choose asks for an upstream; the answer is Chosen or NotChosen.
type Choose struct {
	Attempt AttemptID
	Stage   int
	// Remaining is the time left for the stage; zero sets no bound.
	Remaining time.Duration
	// Exclude names upstreams not to choose.
	Exclude []core.UpstreamID
	Hedge   bool
	// Check is set if the choice only tells whether the stage can be made in time.
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
	// Resume is how many chunks of the stage's output are there already.
	Resume int
	Reason string
}

// Attach follows an attempt on a new stream, from its own chunk From on. An
// earlier stream of the attempt is closed.
type Attach struct {
	Attempt AttemptID
	Stage   int
	From    uint64
	// After delays the call.
	After  time.Duration
	Reason string
}

// Ping asks the side of an attempt whether it lives; the answer is Pinged.
type Ping struct{ Attempt AttemptID }

// Resolve asks a side what became of a claimed attempt; the answer is Resolved.
type Resolve struct {
	Attempt AttemptID
	Stage   int
	After   time.Duration
	Reason  string
}

// CancelReason is the cause to which a cancelled attempt is charged.
type CancelReason string

// The reasons to cancel an attempt.
const (
	CancelHedgeLost  CancelReason = "hedge_lost"
	CancelDeadline   CancelReason = "deadline"
	CancelCallerGone CancelReason = "caller_gone"
	CancelSuperseded CancelReason = "superseded"
)

// Cancel ends an attempt; the answer is Cancelled.
type Cancel struct {
	Attempt AttemptID
	Stage   int
	Reason  CancelReason
	Detail  string
}

// Acknowledge tells a side that the attempt's result is held. No answer.
type Acknowledge struct{ Attempt AttemptID }

// End is how an attempt ended, from the entry's view.
type End string

// The ends of attempts.
const (
	EndOK        End = "ok"
	EndRefused   End = "refused"
	EndFailed    End = "failed"
	EndSilent    End = "silent"
	EndCancelled End = "cancelled"
)

// Report tells how an attempt for which an upstream was chosen ended. There is
// exactly one for each. No answer.
type Report struct {
	Attempt AttemptID
	Stage   int
	End     End
	// Sent is set if the attempt was dispatched, and Wasted names the cause if
	// its work served no answer.
	Sent     bool
	Wasted   string
	Duration time.Duration
}

// OpenClaim claims the attempt for the chosen upstream; the answer is Claimed.
type OpenClaim struct {
	Attempt AttemptID
	Stage   int
	Number  uint32
	// DispatchWithin is how long the stages before are expected to take.
	DispatchWithin time.Duration
}

// Reassign moves the claim to the upstream chosen for the attempt, after proof
// that the attempt before has not run; the answer is Claimed.
type Reassign struct {
	Attempt AttemptID
	Stage   int
	Number  uint32
	Reason  string
}

// Release ends a claim of which no Run was sent or every Run was refused; the
// answer is Released.
type Release struct{ Stage int }

// Finish records the stage's result in the claim; the answer is Finished.
type Finish struct {
	Attempt AttemptID
	Stage   int
	Chunks  [][]byte
}

// Emit hands one chunk of the answer to the caller. Chunks come in order.
type Emit struct {
	Index uint64
	Data  []byte
}

// Note records a decision that has no other action.
type Note struct {
	Attempt AttemptID
	Stage   int
	// Kind is a few words; Reason says why.
	Kind   NoteKind
	Reason string
}

// NoteKind names a decision that is only noted.
type NoteKind string

// The kinds of notes.
const (
	NoteDropped  NoteKind = "dropped"
	NoteStayed   NoteKind = "stayed"
	NoteNoHedge  NoteKind = "no_hedge"
	NoteKept     NoteKind = "kept_result"
	NoteLeft     NoteKind = "left"
	NoteSettling NoteKind = "settling"
	// NoteTrial: a stage is tried although upstreams are said to be too slow.
	NoteTrial NoteKind = "trial"
	// NoteBug: a state chart was violated.
	NoteBug NoteKind = "bug"
)

// GiveUpCause classifies why a request was given up.
type GiveUpCause string

// The causes of giving up.
const (
	// GiveUpOverload: no upstream would have made it in time.
	GiveUpOverload GiveUpCause = "overload"
	// GiveUpNoUpstream: no upstream answers or is fit for the work.
	GiveUpNoUpstream GiveUpCause = "no_upstream"
	// GiveUpUnavailable: the platform's store can't hold the claim.
	GiveUpUnavailable GiveUpCause = "unavailable"
	// GiveUpConflict: the idempotency key was used with another body.
	GiveUpConflict GiveUpCause = "conflict"
	// GiveUpLimit: the workspace's bound is reached.
	GiveUpLimit GiveUpCause = "limit"
	// GiveUpDeadline: the deadline passed.
	GiveUpDeadline GiveUpCause = "deadline"
	// GiveUpFailed: attempts failed and no retry was left.
	GiveUpFailed GiveUpCause = "failed"
	// GiveUpUnknown: a claimed attempt may have run and can't be resolved.
	GiveUpUnknown GiveUpCause = "unresolved"
	// GiveUpCallerGone: nobody waits for the answer.
	GiveUpCallerGone GiveUpCause = "caller_gone"
)

// Answer ends the request for the caller. There is exactly one.
type Answer struct {
	Outcome core.Outcome
	// Cause is empty if the outcome is answered.
	Cause GiveUpCause
	// Step and Detail say where and why the request was given up.
	Step   string
	Detail string
	// RetryAfter is zero if no time is known.
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
