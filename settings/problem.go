package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem describes one invalid, unknown or missing key of a file.
type Problem struct {
	File string
	// Line is the line number, from 1. A missing key is reported at the first line
	// of its table.
	Line int
	// Key is the full path of the key, such as "listen.callers" or "templates[1].name".
	Key string
	// Text is a human-readable description.
	Text string
}

// String returns "file:line: key: text".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems holds every problem found in a file. It is never empty when returned as
// an error.
type Problems []Problem

// Error implements error. It returns one problem per line.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.String()
	}
	return strings.Join(texts, "\n")
}

// sort sorts the problems by line, then by key.
func (p Problems) sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Line != p[j].Line {
			return p[i].Line < p[j].Line
		}
		return p[i].Key < p[j].Key
	})
}

// KeyError is the error for a value that a Validator rejects.
type KeyError struct {
	// Key is relative to the validated struct.
	Key string
	// Text is a human-readable description.
	Text string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Text }

// Invalid returns a KeyError.
func Invalid(key, format string, args ...any) error {
	return &KeyError{Key: key, Text: fmt.Sprintf(format, args...)}
}

// keyErrors splits the error of a Validator into its KeyErrors. Any other error
// becomes a KeyError with an empty key.
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
