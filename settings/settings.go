// Package settings decodes TOML files strictly: unknown keys, wrong types, values
// out of range and missing keys are errors that name the file, line and key.
package settings

import (
	"bytes"
	"errors"
	"os"
	"reflect"

	"github.com/BurntSushi/toml"
)

// Validator is implemented by settings structs that check their own values.
// Validate returns errors made by Invalid, with keys relative to the struct;
// several errors are combined with errors.Join.
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
// defaults. name is the file name used in error messages.
//
// A field's key is its `toml` tag. A field tagged `required:"true"` must be
// present. A key without a matching field is an error. Each struct that implements
// Validator is validated after decoding, unless one of its keys had a problem. All
// problems are returned together, as a Problems sorted by line.
func Decode(name string, data []byte, dst any) error {
	_, err := DecodeLines(name, data, dst)
	return err
}

// DecodeLines is like Decode and also returns the line of each key, so that checks
// across several files can report file and line.
func DecodeLines(name string, data []byte, dst any) (*Lines, error) {
	lines := scanKeys(name, data)
	var root map[string]toml.Primitive
	metadata, err := toml.Decode(string(data), &root)
	if err != nil {
		return lines, Problems{syntaxProblem(name, data, err)}
	}
	d := decoder{metadata: metadata, lines: lines}
	d.decodeTable("", root, reflect.ValueOf(dst).Elem())
	if len(d.problems) == 0 {
		return lines, nil
	}
	d.problems.sort()
	return lines, d.problems
}

// syntaxProblem converts an error of the TOML parser to a Problem.
func syntaxProblem(name string, data []byte, err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Problem{File: name, Line: lineOfPosition(parse.Position, data), Key: parse.LastKey, Text: parse.Message}
	}
	return Problem{File: name, Line: 1, Text: err.Error()}
}

// lineOfPosition returns the line of a parser position. At the end of the data the line
// of the position is the previous one or missing, but its byte offset is correct.
func lineOfPosition(position toml.Position, data []byte) int {
	before := data[:min(max(position.Start, 0), len(data))]
	return max(position.Line, 1+bytes.Count(before, []byte("\n")))
}
