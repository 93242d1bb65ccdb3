// Package fault holds the error type of acaciawinch: every error that crosses a
// module carries the step and the peer at which it arose.
package fault

import (
	"errors"
	"fmt"
)

// Code classifies an error for decisions. Text is for people only.
type Code string

// The classes of errors.
const (
	// Invalid: the input breaks a rule; a retry of the same input fails again.
	Invalid Code = "invalid"
	// NotFound: the named thing does not exist.
	NotFound Code = "not_found"
	// Conflict: the thing changed under the caller.
	Conflict Code = "conflict"
	// Refused: the peer proved that it did not and will not act.
	Refused Code = "refused"
	// Unavailable: the peer could not be reached, or gave up before it acted.
	Unavailable Code = "unavailable"
	// Ambiguous: the peer may or may not have acted.
	Ambiguous Code = "ambiguous"
	// DeadlineExceeded: the time allowed ran out.
	DeadlineExceeded Code = "deadline_exceeded"
	// Cancelled: the caller gave up.
	Cancelled Code = "cancelled"
	// Internal: a rule of the code itself was broken.
	Internal Code = "internal"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	Code Code
	// Step names what was being done, such as "claim.create".
	Step string
	// Peer names the other side: an upstream, a process or a service; empty if none.
	Peer string
	// Detail says what went wrong, for people.
	Detail string
	// Err is the cause, if another error is.
	Err error
}

// New returns an error without a cause.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error caused by err, or nil if err is nil. An err that already
// is an Error with a step keeps its own step and peer and is returned as it is.
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

// Error implements error.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the class of err, Internal if it has none, and "" for nil.
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

// Is tells whether err has the class code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }
