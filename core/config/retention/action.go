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
	// After and Limit select the page of a list: Limit objects with keys above After.
	After string
	Limit int
	// Value is the object's new value, and Version the condition of the write.
	Value   []byte
	Version uint64
}

// Object is one listed object.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Reply is the result of a call.
type Reply struct {
	// Code is "" for success, else the code of the call's error.
	Code fault.Code
	// Detail is the error's text.
	Detail string
	// Value and Version belong to the object that was read or written.
	Value   []byte
	Version uint64
	// Objects are the listed objects.
	Objects []Object
}

// Outcome is the way in which a pass ended.
type Outcome string

// The outcomes.
const (
	// Done: nothing is left to remove.
	Done Outcome = "done"
	// Overtaken: other updates of the head won the race too often. The next pass
	// continues.
	Overtaken Outcome = "overtaken"
	// Interrupted: a call failed. The next pass continues.
	Interrupted Outcome = "interrupted"
)

// Result is the outcome of a pass and the work that it did.
type Result struct {
	Outcome Outcome
	// Detail names the call that failed.
	Detail string
	// Oldest is the first revision kept.
	Oldest core.Revision
	// Listed counts the copies listed, Copies and Parts the copies and parts removed.
	// Spared counts the parts of a batch that were not removed, because a change
	// referenced or touched them in the meantime.
	Listed, Copies, Parts, Spared int
}
