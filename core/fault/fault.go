// Package fault defines the error type of acaciawinch: every error that leaves a module
// carries a code, the step that failed and the peer it failed with.
package fault

import (
	"errors"
	"fmt"
)

// Code is the class of an error. Decisions depend on it, never on the text of an error.
type Code string

const (
	// Invalid means that the input is invalid; a retry with the same input fails again.
	Invalid Code = "invalid"
	// NotFound means that the requested object does not exist.
	NotFound Code = "not_found"
	// Conflict means that the object was changed concurrently.
	Conflict Code = "conflict"
	// Refused means that the peer is known not to have acted on the request, and never will.
	Refused Code = "refused"
	// Unavailable means that the peer could not be reached, or failed before it acted.
	Unavailable Code = "unavailable"
	// Ambiguous means that the peer may or may not have acted.
	Ambiguous Code = "ambiguous"
	// DeadlineExceeded means that the deadline passed.
	DeadlineExceeded Code = "deadline_exceeded"
	// Cancelled means that the caller cancelled the operation.
	Cancelled Code = "cancelled"
	// Internal means that an invariant of the code was violated.
	Internal Code = "internal"
)

// Error is an error with its code, the step that failed and the peer it failed with.
type Error struct {
	Code Code
	// Step is the operation that failed, such as "claim.create".
	Step string
	// Peer is the other side: an upstream, a process or a service; empty if there is none.
	Peer string
	// Detail describes the failure in a human-readable form.
	Detail string
	// Err is the underlying error, nil if there is none.
	Err error
}

// New returns an error without a cause.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that wraps err, or nil if err is nil. If err already is or wraps an
// Error, Wrap returns err unchanged, with its own code, step and peer.
func Wrap(code Code, step, peer string, err error) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) {
		return err
	}
	return &Error{Code: code, Step: step, Peer: peer, Err: err}
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := string(e.Code) + " at " + e.Step
	if e.Peer != "" {
		text += " with " + e.Peer
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of err, Internal if err has none, and "" if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// Is reports whether err has the given code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }
