// Package settings reads TOML files strictly: unknown keys, wrong types, values
// out of range and missing fields are errors that name file, line and key.
package settings

import (
	"bytes"
	"errors"
	"os"
	"reflect"

	"github.com/BurntSushi/toml"
)

// Validator is implemented by settings structs that check their own values. It
// returns errors made by Invalid, joined by errors.Join if there are several,
// with keys relative to the struct.
type Validator interface {
	Validate() error
}

// Load reads the TOML file at path into dst, a pointer to a struct that holds
// the defaults. The error is a Problems unless the file can't be read.
func Load(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(path, data, dst)
}

// Decode reads TOML data into dst, a pointer to a struct that holds the
// defaults. Name is the file's name in messages.
//
// A field's key is its `toml` tag. A field tagged `required:"true"` must be
// present. Every key that no field has is an error. After the decoding, each
// struct that is a Validator checks itself, if its own keys were sound. All
// problems are returned together, as a Problems in the order of their lines.
func Decode(name string, data []byte, dst any) error {
	_, err := DecodeLines(name, data, dst)
	return err
}

// DecodeLines is Decode, and also returns where each key stands, so that checks
// over several files can name file and line too.
func DecodeLines(name string, data []byte, dst any) (*Lines, error) {
	lines := locate(name, data)
	var root map[string]toml.Primitive
	metadata, err := toml.Decode(string(data), &root)
	if err != nil {
		return lines, Problems{syntaxProblem(name, data, err)}
	}
	d := decoder{metadata: metadata, lines: lines}
	d.table("", root, reflect.ValueOf(dst).Elem())
	if len(d.problems) == 0 {
		return lines, nil
	}
	d.problems.sort()
	return lines, d.problems
}

// syntaxProblem turns a parser's error into a Problem.
func syntaxProblem(name string, data []byte, err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Problem{File: name, Line: lineOf(parse.Position, data), Key: parse.LastKey, Text: parse.Message}
	}
	return Problem{File: name, Line: 1, Text: err.Error()}
}

// lineOf returns the line of a parser's position. At the end of the data the
// parser names the line before, or none, but the right byte.
func lineOf(position toml.Position, data []byte) int {
	before := data[:min(max(position.Start, 0), len(data))]
	return max(position.Line, 1+bytes.Count(before, []byte("\n")))
}
