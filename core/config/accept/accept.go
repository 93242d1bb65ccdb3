// Package accept is the protocol by which an operator's change becomes the
// configuration in force, as a pure state machine: the caller carries out the
// actions that the machine returns and passes the replies back to it.
//
// The steps, each of which consists of calls of the object API:
//
//  1. Read the head, and the parts that the change touches.
//  2. Apply the change to the content read, and validate the result.
//  3. Create the immutable copy of the new head, under its revision and change id.
//  4. Create the immutable parts. A part that exists is touched: it is updated with
//     the value that it has, so that its version rises.
//  5. Update the head, on condition of the version read in step 1. Only this step
//     accepts the change.
//
// Why each step is safe against crashes, lost responses and racing operators:
//
//   - Parts are identified by the hashes of their content. A part that exists has the
//     bytes that this writer would write, whoever wrote it, and a part that no head
//     references is never read. So step 4 may be repeated, and may be left unfinished.
//   - The copy's key holds the random change id, so only this writer writes it. At one
//     revision its content is always the same: the previous head is the only one of its
//     revision, because the head is only updated conditionally, and the merge is
//     deterministic. So step 3 may be repeated or left unfinished as well. It precedes
//     step 4, so that each part is referenced by some copy, through which the removal
//     of old objects (package retention) finds it.
//   - An existing part may be about to be removed, because no kept head references it
//     any more. A removal reads the versions that it deletes, and then lists the copies.
//     Either it sees this run's copy, or the touch follows the removal's read of the
//     version. In both cases the part is not removed.
//   - The parts and the copy exist before the head is updated, so a reader of a head
//     finds all parts that it references, and can follow the copies back to the first.
//   - An update of the head on version V succeeds for at most one writer, as versions of
//     an object only rise. If its response is lost, the head is read again. If the head
//     is still at V, the same update may be sent again: at most one of the requests can
//     take effect, and all have the same value. If the head is no longer at V, no update
//     on V can take effect any more, and the chain of copies shows for good whether ours
//     did: the one copy at our revision in the chain has our change id, or another's.
package accept

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// Limits of one run.
const (
	// MaxFailures is how many calls in a row may fail before the run gives up. It also
	// bounds the updates of the head that are sent for one revision.
	MaxFailures = 8
	// MaxRebases is how often a run may restart because another update of the head was
	// accepted first.
	MaxRebases = 16
	// MaxWalk is the maximum number of copies read to settle a lost response.
	MaxWalk = 1024
)

// Request is an operator's request for a change.
type Request struct {
	// ChangeID is random and unique.
	ChangeID string
	// Author and Note are shown to operators only.
	Author string
	Note   string
	// Time is when the change was made. It is shown to operators and decides how long
	// the head's copy is kept.
	Time   time.Time
	Change config.Change
	// Base is the head that the operator's change is based on. If it is nil, the change
	// is based on the head in force when the run begins.
	Base *config.Head
}

// ActionKind is one kind of call of the object API.
type ActionKind string

// The kinds of actions.
const (
	ActionGet    ActionKind = "get"
	ActionCreate ActionKind = "create"
	ActionUpdate ActionKind = "update"
)

// Action is a call that the caller must carry out.
type Action struct {
	Kind  ActionKind
	Key   string
	Value []byte
	// Version is the condition of an update.
	Version uint64
	// Failures counts the calls in a row that failed before this one. The caller backs
	// off longer the more there are.
	Failures int
}

// Reply is the result of a call.
type Reply struct {
	// Code is "" for success, else the code of the call's error.
	Code fault.Code
	// Detail is the error's text.
	Detail string
	// Value and Version are those of the object read.
	Value   []byte
	Version uint64
}

// Outcome is the way in which a run ended.
type Outcome string

// The outcomes.
const (
	// Accepted: the change is in force from Result.Revision on.
	Accepted Outcome = "accepted"
	// Unchanged: the configuration in force already has the requested content.
	Unchanged Outcome = "unchanged"
	// Conflict: other operators changed the same items, or items that the change depends
	// on, or their changes were accepted first too often.
	Conflict Outcome = "conflict"
	// Invalid: the resulting configuration would violate rules.
	Invalid Outcome = "invalid"
	// Unavailable: the store failed to respond. The change is certainly not in force.
	Unavailable Outcome = "unavailable"
	// Ambiguous: the store failed to respond after the head's update was sent. The change
	// may be in force; once the store is available again, the history shows whether it
	// holds the change id.
	Ambiguous Outcome = "ambiguous"
	// Failed: the store's content or its replies violate the protocol.
	Failed Outcome = "failed"
)

// Result is the end of a run.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	ChangeID string  `json:"change_id"`
	// Base is the revision that the change is based on, and Revision the one at which it
	// is in force.
	Base     core.Revision `json:"base"`
	Revision core.Revision `json:"revision,omitempty"`
	// Items are the items that the change touches; in a conflict, those that others
	// touched as well.
	Items []config.Item `json:"items,omitempty"`
	// Other is the head that the change conflicts with.
	Other *config.Head `json:"-"`
	// Problems are the violated rules.
	Problems []config.Problem `json:"problems,omitempty"`
	// Detail explains the outcome to operators.
	Detail string `json:"detail,omitempty"`
}
