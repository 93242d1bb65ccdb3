package request

import (
	"time"

	"acaciawinch/core"
)

// AttemptID identifies an attempt within a request. It is not the attempt's
// number on the wire, which is counted per stage.
type AttemptID int

// Event is something that happened to the request.
type Event interface{ event() }

// Chosen reports that an upstream was chosen for an attempt.
type Chosen struct {
	Attempt  AttemptID
	Upstream core.UpstreamID
	// Expected is the expected time from dispatch to the complete result.
	Expected time.Duration
}

// NotChosen reports that no upstream could be chosen for an attempt.
type NotChosen struct {
	Attempt AttemptID
	// LackOfTime is set if upstreams could do the work, but not in time. Otherwise no
	// upstream responds or is fit for the work, which may last only a moment.
	LackOfTime bool
	RetryAfter time.Duration
	Detail     string
}

// Started reports that an attempt was handed to its upstream.
type Started struct{ Attempt AttemptID }

// Chunk is one part of an attempt's output, numbered from zero.
type Chunk struct {
	Attempt AttemptID
	Index   uint64
	Data    []byte
}

// Done closes an attempt's output.
type Done struct {
	Attempt AttemptID
	Chunks  uint64
	// Digest is the xxhash64 of the attempt's own chunks, in order.
	Digest uint64
}

// Refusal classifies what a sidecar's refusal means for the request.
type Refusal int

// The classes of refusals.
const (
	// RefusalProved: the attempt has not run and never will.
	RefusalProved Refusal = iota + 1
	// RefusalInvalid: as RefusalProved, and every other sidecar would refuse it too.
	RefusalInvalid
	// RefusalAmbiguous: the sidecar does not know the outcome of the attempt.
	RefusalAmbiguous
)

// Refused reports that a sidecar refused an attempt.
type Refused struct {
	Attempt AttemptID
	Refusal Refusal
	// LackOfTime is set if the sidecar could do the work, but not in time.
	LackOfTime bool
	RetryAfter time.Duration
	Detail     string
}

// Failed reports that an attempt was handed to its upstream and ended without a
// result.
type Failed struct {
	Attempt AttemptID
	// MayHaveRun is set if the upstream may have carried out the work.
	MayHaveRun bool
	Detail     string
}

// Broken reports that the stream of an attempt ended without a closing event.
type Broken struct {
	Attempt AttemptID
	// NotSent is set if the Run certainly never left this process.
	NotSent bool
	Detail  string
}

// Pinged is the response to a Ping.
type Pinged struct {
	Attempt AttemptID
	Alive   bool
}

// Resolution is the outcome of a claimed attempt, as its sidecar reports it.
type Resolution int

// The resolutions.
const (
	// ResolvedNotRun: proved not run; the sidecar refuses the attempt from now on.
	ResolvedNotRun Resolution = iota + 1
	// ResolvedDone: the attempt ran; Resolved.Chunks holds its result.
	ResolvedDone
	// ResolvedRunning: the attempt is queued or running.
	ResolvedRunning
	// ResolvedGone: the sidecar has no record of the outcome, or the attempt failed
	// while it ran.
	ResolvedGone
	// ResolvedUnreachable: the sidecar did not respond.
	ResolvedUnreachable
)

// Resolved is the response to a Resolve.
type Resolved struct {
	Attempt    AttemptID
	Resolution Resolution
	Chunks     [][]byte
	Detail     string
}

// Cancelled is the response to a Cancel.
type Cancelled struct {
	Attempt AttemptID
	// Confirmed is set if the sidecar responded. An attempt that has not started
	// by then never will.
	Confirmed bool
	// Started is set if the attempt had been handed to the upstream.
	Started bool
}

// ClaimStatus is the result of a claim call.
type ClaimStatus int

// The claim statuses; see core/claim.
const (
	ClaimOwned ClaimStatus = iota + 1
	ClaimDone
	ClaimRunning
	ClaimUnknown
	ClaimUnavailable
	ClaimNotRun
	// ClaimInvalid: the key was used with another body.
	ClaimInvalid
)

// Claimed is the response to an OpenClaim or a Reassign.
type Claimed struct {
	Attempt AttemptID
	Status  ClaimStatus
	// MayHaveRun is set if another request's claim of the key may have run the stage.
	MayHaveRun bool
	// Chunks are the result with ClaimDone; Recorded is set if the claim holds it.
	Chunks     [][]byte
	Recorded   bool
	RetryAfter time.Duration
	Detail     string
}

// Finished is the response to a Finish.
type Finished struct {
	Attempt AttemptID
	// Recorded is set if the claim holds the result.
	Recorded bool
}

// Released is the response to a Release.
type Released struct{ Stage int }

// Denied reports that the request may not run because the limit of its workspace
// is reached. Until that is decided, an upstream may be chosen for the first stage
// only, and only if that stage is idempotent.
type Denied struct {
	RetryAfter time.Duration
	Detail     string
}

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct{}

// Tick reports that the time returned by Wake has come.
type Tick struct{}

func (Chosen) event()     {}
func (NotChosen) event()  {}
func (Started) event()    {}
func (Chunk) event()      {}
func (Done) event()       {}
func (Refused) event()    {}
func (Failed) event()     {}
func (Broken) event()     {}
func (Pinged) event()     {}
func (Resolved) event()   {}
func (Cancelled) event()  {}
func (Claimed) event()    {}
func (Finished) event()   {}
func (Released) event()   {}
func (Denied) event()     {}
func (CallerGone) event() {}
func (Tick) event()       {}
