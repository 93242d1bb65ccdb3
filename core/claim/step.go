package claim

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
)

// Status is the kind of a verdict.
type Status int

// The statuses of verdicts.
const (
	// Owned: the caller owns the attempt and may dispatch it, once.
	Owned Status = iota + 1
	// Done: the stage ran; its result is present.
	Done
	// Running: an attempt of another request with the same key is running; attach
	// to it.
	Running
	// Unknown: an attempt may have run. The claim is left unchanged.
	Unknown
	// Unavailable: the store did not respond. The caller has started nothing and
	// will start nothing.
	Unavailable
	// NotRun: it is proved that neither the caller nor, for a lookup, the request
	// named in the record has run the stage or ever will.
	NotRun
	// Absent: a lookup found no claim.
	Absent
	// Invalid: the claim belongs to another body or key.
	Invalid
)

var statusNames = map[Status]string{
	Owned:       "mine",
	Done:        "done",
	Running:     "running",
	Unknown:     "unknown",
	Unavailable: "unavailable",
	NotRun:      "not_run",
	Absent:      "absent",
	Invalid:     "invalid",
}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// Verdict is the result of an operation on a claim.
type Verdict struct {
	Status Status
	// Record and Version are those of the claim on which the verdict is based, if
	// one was seen.
	Record  Record
	Version uint64
	// Chunks are the result, with Done.
	Chunks [][]byte
	// Recorded reports, with Done, whether the claim object holds the result or its
	// digest already.
	Recorded bool
	// KeyNotRun is set if no attempt of any request with this key had run at the
	// moment on which the verdict is based, and those that had claimed it by then
	// never will. It can be set with NotRun and, for a generated key, with Owned and
	// Unavailable: no other request can have a generated key.
	KeyNotRun bool
	// RetryAfter is when a retry may succeed; zero if a retry is of no use.
	RetryAfter time.Duration
	// Trail lists the events of the claim chart that led to the verdict, in order.
	Trail []chart.Event
}

// Call is the kind of call that the driver of a machine has to make next.
type Call int

// The calls.
const (
	// CallNone: the machine has ended.
	CallNone Call = iota
	// CallCreate: create the object, then call Wrote.
	CallCreate
	// CallUpdate: update the object if it has the version, then call Wrote.
	CallUpdate
	// CallRead: read the object, then call Found, Missing or Unreadable.
	CallRead
	// CallWait: wait for the duration, then call Waited.
	CallWait
	// CallResolve: query the record's sidecar for the record's attempt, then call
	// Resolved.
	CallResolve
)

// Step is the next call with its arguments.
type Step struct {
	Call Call
	// Name is the name of the claim object.
	Name string
	// Record is the record to write, or names the attempt to resolve.
	Record Record
	// Version is the version on which an update is conditional.
	Version uint64
	// Wait is the duration of a CallWait.
	Wait time.Duration
}

// WriteResponse is the store's response to a conditional write.
type WriteResponse int

// The responses to a write.
const (
	// WriteOK: the write took effect.
	WriteOK WriteResponse = iota + 1
	// WriteConflict: the condition did not hold.
	WriteConflict
	// WriteAmbiguous: the write may have taken effect, or may do so later.
	WriteAmbiguous
	// WriteUnavailable: the write was certainly not carried out.
	WriteUnavailable
)

// SidecarState is the state of an attempt in a sidecar's response to Resolve.
type SidecarState int

// The states that a sidecar can report.
const (
	// SidecarDone: the attempt finished; the result is in the response.
	SidecarDone SidecarState = iota + 1
	// SidecarRunning: the attempt is queued or running.
	SidecarRunning
	// SidecarNotRun: the attempt has not run and is refused from now on.
	SidecarNotRun
	// SidecarGone: the sidecar can't tell, because it is another incarnation or has
	// evicted the attempt.
	SidecarGone
	// SidecarFailed: the attempt was handed to the upstream and has no result.
	SidecarFailed
	// SidecarUnreachable: there was no response.
	SidecarUnreachable
)

// SidecarResponse is a sidecar's response to Resolve.
type SidecarResponse struct {
	State SidecarState
	// Incarnation is that of the responding sidecar.
	Incarnation core.Incarnation
	Chunks      [][]byte
}
