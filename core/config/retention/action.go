package retention

import (
	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// ActionKind is one kind of call of the object API.
type ActionKind string

// The kinds of actions.
const (
	ActionGet    ActionKind = "get"
	ActionList   ActionKind = "list"
	ActionUpdate ActionKind = "update"
	ActionDelete ActionKind = "delete"
)

// Action is a call that the caller must carry out.
type Action struct {
	Kind ActionKind
	// Key is the object's key, or the prefix of a list.
	Key string
	// After and Limit are those of a list.
	After string
	Limit int
	// Value and Version are those of a conditional write.
	Value   []byte
	Version uint64
}

// Object is one listed object.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
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
	// Objects are those listed.
	Objects []Object
}

// Outcome tells how a pass ended.
type Outcome string

// The outcomes.
const (
	// Done: nothing is left to remove.
	Done Outcome = "done"
	// Overtaken: changes were accepted too fast. The next pass goes on.
	Overtaken Outcome = "overtaken"
	// Interrupted: a call failed. The next pass goes on.
	Interrupted Outcome = "interrupted"
)

// Result is the end of a pass, and what it did.
type Result struct {
	Outcome Outcome
	// Detail tells which call failed.
	Detail string
	// Oldest is the first revision kept.
	Oldest core.Revision
	// Listed, Copies and Parts count copies listed, and copies and parts removed.
	// Spared counts parts that were touched in the meantime.
	Listed, Copies, Parts, Spared int
}
