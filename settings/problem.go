package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a file.
type Problem struct {
	File string
	// Line counts from 1. A missing key is reported where its table begins.
	Line int
	// Key is the full key, such as "listen.callers" or "templates[1].name".
	Key string
	// Text says what is wrong, for people.
	Text string
}

// String returns "file:line: key: text".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems are all faults found in a file. It is never empty when returned as an error.
type Problems []Problem

// Error implements error: one problem on each line.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.String()
	}
	return strings.Join(texts, "\n")
}

// sort orders the problems by line, then key.
func (p Problems) sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Line != p[j].Line {
			return p[i].Line < p[j].Line
		}
		return p[i].Key < p[j].Key
	})
}

// KeyError is a value that a Validator rejects.
type KeyError struct {
	// Key is relative to the struct that is validated.
	Key string
	// Text says what is wrong, for people.
	Text string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Text }

// Invalid returns a KeyError.
func Invalid(key, format string, args ...any) error {
	return &KeyError{Key: key, Text: fmt.Sprintf(format, args...)}
}

// keyErrors takes a Validator's error apart into its KeyErrors. Any other error
// is kept under an empty key.
func keyErrors(err error) []*KeyError {
	switch e := err.(type) {
	case nil:
		return nil
	case *KeyError:
		return []*KeyError{e}
	case interface{ Unwrap() []error }:
		var all []*KeyError
		for _, inner := range e.Unwrap() {
			all = append(all, keyErrors(inner)...)
		}
		return all
	default:
		return []*KeyError{{Text: err.Error()}}
	}
}
