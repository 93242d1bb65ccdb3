// Package accept is the protocol by which an operator's change becomes the
// configuration in force, as a pure state machine: the caller carries out the
// actions that it asks for and hands back the replies.
//
// The steps, each one call of the object API:
//
//  1. Read the head, and the parts that the change touches.
//  2. Make the change on what was read, and validate the result.
//  3. Create the immutable copy of the new head under revision and change id.
//  4. Create the immutable parts. A part that exists is touched: updated with
//     the value that it has, so that its version rises.
//  5. Move the head by an update on the version that was read. Only this step
//     accepts the change.
//
// Why each step is safe against a crash, a lost answer and a racing operator:
//
//   - Parts are named by their content. A part that exists has the bytes that
//     this writer would write, whoever wrote it; a part that no head names is
//     never read. So step 4 may be repeated, and may be left unfinished.
//   - The copy's key holds the random change id, so only this writer writes it.
//     At one revision its content is always the same: the head before it is the
//     only one of its revision, because heads move by conditional updates, and
//     the merge is deterministic. So step 3 may be repeated or left, too. It
//     comes before the parts, so that each part is named by some copy, from
//     which the removal of old objects (package retention) finds it.
//   - A part that exists may be about to be removed, because no kept head names
//     it any more. A removal reads the versions that it deletes, and then lists
//     the copies. Either it sees this run's copy, or the touch came after it read
//     the version: in both cases the part stays.
//   - The parts and the copy exist before the head moves, so whoever reads a
//     head finds all that it names, and walks the copies back to the first.
//   - An update of the head on version V succeeds for at most one writer, as
//     versions of an object only rise. If its answer is lost, the head is read
//     again. Is it still at V, then the same update may be sent again: at most
//     one of the copies sent can take effect, and all have the same value. Has it
//     moved, then no update on V can take effect any more, and the chain of
//     copies tells for good whether ours did: the one copy at our revision
//     carries our change id, or another's.
package accept

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// Limits of one run.
const (
	// MaxFailures is how many calls in a row may fail before the run gives up.
	MaxFailures = 8
	// MaxRebases is how often other operators may be first.
	MaxRebases = 16
	// MaxWalk is how many copies are read to settle a lost answer.
	MaxWalk = 1024
)

// Request is what an operator asks for.
type Request struct {
	// ChangeID is random and unique.
	ChangeID string
	// Author and Note are for people.
	Author string
	Note   string
	// Time is when the change is made, for people and for the removal of old heads.
	Time   time.Time
	Change config.Change
	// Base is the head that the operator worked from, or nil for the one that is
	// in force when the run begins.
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
	// Failures counts the calls in a row that failed before this one: the caller
	// waits the longer.
	Failures int
}

// Reply is what the call returned.
type Reply struct {
	// Code is "" for success, else that of the call's error.
	Code fault.Code
	// Detail is the error's text.
	Detail string
	// Value and Version are those of the object read.
	Value   []byte
	Version uint64
}

// Outcome tells how a run ended.
type Outcome string

// The outcomes.
const (
	// Accepted: the change is in force from Result.Revision on.
	Accepted Outcome = "accepted"
	// Unchanged: what the change asks for is in force already.
	Unchanged Outcome = "unchanged"
	// Conflict: others changed the same things, or things that the change needs.
	Conflict Outcome = "conflict"
	// Invalid: the result would break rules.
	Invalid Outcome = "invalid"
	// Unavailable: the store gave no answer; the change is certainly not in force.
	Unavailable Outcome = "unavailable"
	// Ambiguous: the store gave no answer when it counted; the change may be in
	// force. The history tells by the change id, once the store answers.
	Ambiguous Outcome = "ambiguous"
	// Failed: the store holds something that breaks the protocol.
	Failed Outcome = "failed"
)

// Result is the end of a run.
type Result struct {
	Outcome  Outcome `json:"outcome"`
	ChangeID string  `json:"change_id"`
	// Base and Revision are what the change was made on and what it became.
	Base     core.Revision `json:"base"`
	Revision core.Revision `json:"revision,omitempty"`
	// Items are what the change touches, or in a conflict what others touched too.
	Items []config.Item `json:"items,omitempty"`
	// Other is the head that the change clashes with.
	Other *config.Head `json:"-"`
	// Problems are the broken rules.
	Problems []config.Problem `json:"problems,omitempty"`
	// Detail is for people.
	Detail string `json:"detail,omitempty"`
}
