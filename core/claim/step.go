package claim

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
)

// Status is the verdict of a claim.
type Status int

// The verdicts.
const (
	// Mine: the asker owns the attempt and may dispatch it, once.
	Mine Status = iota + 1
	// Done: the stage ran; its result is present.
	Done
	// Running: another request of the same key has it running; attach to it.
	Running
	// Unknown: an attempt may have run. The claim stays as it is.
	Unknown
	// Unavailable: the store did not answer. The asker has started nothing and
	// will start nothing.
	Unavailable
	// NotRun: proved that neither the asker nor, for a look, the request named in
	// the record has run it or ever will.
	NotRun
	// Absent: a look found no claim.
	Absent
	// Invalid: the claim is that of another body or key.
	Invalid
)

var statusNames = map[Status]string{
	Mine:        "mine",
	Done:        "done",
	Running:     "running",
	Unknown:     "unknown",
	Unavailable: "unavailable",
	NotRun:      "not_run",
	Absent:      "absent",
	Invalid:     "invalid",
}

// String returns the verdict's name.
func (s Status) String() string { return statusNames[s] }

// Verdict is what a claim came to.
type Verdict struct {
	Status Status
	// Record and Version are those of the claim that decided, if one was seen.
	Record  Record
	Version uint64
	// Chunks are the result in Done.
	Chunks [][]byte
	// Recorded tells, in Done, whether the claim object holds the result already.
	Recorded bool
	// KeyNotRun tells that no attempt of any request with this key had run at the
	// moment that decided, and that those which had claimed it by then never will.
	// It holds with NotRun and, for a key that the entry made itself, with Mine
	// and Unavailable: then nobody else can have asked for it.
	KeyNotRun bool
	// RetryAfter tells when asking again is worth while; zero if it is not.
	RetryAfter time.Duration
	// Trail is the events of the claim chart that led here, in order.
	Trail []chart.Event
}

// Call is what the driver of a machine has to do next.
type Call int

// The calls.
const (
	// CallNone: the verdict is reached.
	CallNone Call = iota
	// CallCreate: create the object; answer by Wrote.
	CallCreate
	// CallUpdate: update the object if it has the version; answer by Wrote.
	CallUpdate
	// CallRead: read the object; answer by Found, Missing or Unreadable.
	CallRead
	// CallWait: wait for the duration; answer by Waited.
	CallWait
	// CallResolve: ask the record's side for the record's attempt; answer by
	// Resolved.
	CallResolve
)

// Step is the next call with its arguments.
type Step struct {
	Call Call
	// Name is the claim object's.
	Name string
	// Record is to be written, or names the attempt to resolve.
	Record Record
	// Version is the condition of an update.
	Version uint64
	Wait    time.Duration
}

// WriteAnswer is how the store answered a conditional write.
type WriteAnswer int

// The answers to a write.
const (
	// WriteOK: the write took effect.
	WriteOK WriteAnswer = iota + 1
	// WriteConflict: the condition did not hold.
	WriteConflict
	// WriteAmbiguous: the write may have taken effect, or may do so later.
	WriteAmbiguous
	// WriteUnavailable: the write was certainly not carried out.
	WriteUnavailable
)

// SideState is how a side answered Resolve.
type SideState int

// The answers of a side.
const (
	// SideDone: the attempt finished; the result is in the answer.
	SideDone SideState = iota + 1
	// SideRunning: the attempt is queued or running.
	SideRunning
	// SideNotRun: the attempt has not run and is refused from now on.
	SideNotRun
	// SideGone: the side can't know.
	SideGone
	// SideFailed: the attempt was handed to the upstream and has no result.
	SideFailed
	// SideUnreachable: there was no answer.
	SideUnreachable
)

// SideAnswer is a side's answer to Resolve.
type SideAnswer struct {
	State SideState
	// Incarnation is the answering process's.
	Incarnation core.Incarnation
	Chunks      [][]byte
}
