package request

import (
	"time"

	"acaciawinch/core"
)

// AttemptID names one attempt within a request. It is not the attempt's number
// on the wire, which counts by stage.
type AttemptID int

// Event is something that happened to the request.
type Event interface{ event() }

// Chosen tells that an upstream was chosen for an attempt.
type Chosen struct {
	Attempt  AttemptID
	Upstream core.UpstreamID
	// Expected is the expected time from dispatch to the whole result.
	Expected time.Duration
}

// NotChosen tells that no upstream could be chosen for an attempt.
type NotChosen struct {
	Attempt AttemptID
	// Late is set if upstreams could do the work, but not in time. Otherwise none
	// answered or is fit, which may be over in a moment.
	Late       bool
	RetryAfter time.Duration
	Detail     string
}

// Started tells that an attempt was handed to its upstream.
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
	// Digest is the xxhash64 of the attempt's own chunks in order.
	Digest uint64
}

// Refusal classifies what a side's refusal means for the request.
type Refusal int

// The classes of refusals.
const (
	// RefusalProved: the attempt has not run and will not.
	RefusalProved Refusal = iota + 1
	// RefusalInvalid: as RefusalProved, and no other side would take it.
	RefusalInvalid
	// RefusalAmbiguous: the side can't say what became of the attempt.
	RefusalAmbiguous
)

// Refused tells that a side refused an attempt.
type Refused struct {
	Attempt AttemptID
	Refusal Refusal
	// Late is set if the side could do the work, but not in time.
	Late       bool
	RetryAfter time.Duration
	Detail     string
}

// Failed tells that an attempt was handed to its upstream and has no result.
type Failed struct {
	Attempt AttemptID
	// MayHaveRun is set if the upstream may have carried out the work.
	MayHaveRun bool
	Detail     string
}

// Broken tells that the stream of an attempt ended without a closing event.
type Broken struct {
	Attempt AttemptID
	// NotSent is set if the Run certainly never left this process.
	NotSent bool
	Detail  string
}

// Pinged is the answer to a Ping.
type Pinged struct {
	Attempt AttemptID
	Alive   bool
}

// Resolution is what a side says became of a claimed attempt.
type Resolution int

// The resolutions.
const (
	// ResolvedNotRun: proved not run; the side refuses it from now on.
	ResolvedNotRun Resolution = iota + 1
	// ResolvedDone: the attempt ran; the chunks are present.
	ResolvedDone
	// ResolvedRunning: the attempt is queued or running.
	ResolvedRunning
	// ResolvedGone: the side can't know, or the attempt failed midway.
	ResolvedGone
	// ResolvedUnreachable: the side did not answer.
	ResolvedUnreachable
)

// Resolved is the answer to a Resolve.
type Resolved struct {
	Attempt    AttemptID
	Resolution Resolution
	Chunks     [][]byte
	Detail     string
}

// Cancelled is the answer to a Cancel.
type Cancelled struct {
	Attempt AttemptID
	// Confirmed is set if the side answered. Then an attempt that has not started
	// never will.
	Confirmed bool
	// Started is set if the attempt had been handed to the upstream.
	Started bool
}

// ClaimStatus is the verdict of a claim.
type ClaimStatus int

// The verdicts; see core/claim.
const (
	ClaimMine ClaimStatus = iota + 1
	ClaimDone
	ClaimRunning
	ClaimUnknown
	ClaimUnavailable
	ClaimNotRun
	// ClaimInvalid: the key was used with another body.
	ClaimInvalid
)

// Claimed is the answer to OpenClaim and Reassign.
type Claimed struct {
	Attempt AttemptID
	Status  ClaimStatus
	// Seen is set if another request's claim of the key may have run the stage.
	Seen bool
	// Chunks are the result with ClaimDone; Recorded tells that the claim holds it.
	Chunks     [][]byte
	Recorded   bool
	RetryAfter time.Duration
	Detail     string
}

// Finished is the answer to Finish.
type Finished struct {
	Attempt AttemptID
	// Recorded is set if the claim holds the result.
	Recorded bool
}

// Released is the answer to Release.
type Released struct{ Stage int }

// Denied tells that the request may not run: its workspace's bound is reached.
// Until that is known, nothing but the first stage may be chosen for, and that
// only if it is idempotent.
type Denied struct {
	RetryAfter time.Duration
	Detail     string
}

// CallerGone tells that nobody waits for the answer any more.
type CallerGone struct{}

// Tick tells that the time of Wake has come.
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
