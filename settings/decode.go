package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// decoder decodes structs key by key, so that all problems of a file are found at once.
type decoder struct {
	metadata toml.MetaData
	lines    *Lines
	problems Problems
}

// addProblem records a problem of a key.
func (d *decoder) addProblem(key, format string, args ...any) {
	d.problems = append(d.problems, d.lines.Problem(key, fmt.Sprintf(format, args...)))
}

// decodeTable decodes a table into the struct dst.
func (d *decoder) decodeTable(path string, values map[string]toml.Primitive, dst reflect.Value) {
	before := len(d.problems)
	known := map[string]bool{}
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		name := fieldKey(field)
		known[name] = true
		key := joinPath(path, name)
		value, present := values[name]
		if present {
			d.decodeField(key, value, dst.Field(i))
			continue
		}
		d.handleAbsent(key, field, dst.Field(i))
	}
	d.rejectUnknown(path, values, known)
	if len(d.problems) == before {
		d.validate(path, dst)
	}
}

// fieldKey returns the TOML key of a field: its tag, or else its name.
func fieldKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// handleAbsent handles a field whose key is not in the file: it records a problem if the
// key is required. A missing table is decoded as an empty one, so that its required keys
// are reported.
func (d *decoder) handleAbsent(key string, field reflect.StructField, dst reflect.Value) {
	if field.Tag.Get("required") == "true" {
		d.addProblem(key, "missing")
		return
	}
	if isTable(field.Type) {
		d.decodeTable(key, nil, dst)
	}
}

// rejectUnknown records a problem for each key that has no field.
func (d *decoder) rejectUnknown(path string, values map[string]toml.Primitive, known map[string]bool) {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	for name := range values {
		if !known[name] {
			d.addProblem(joinPath(path, name), "unknown key; known here are %s", strings.Join(names, ", "))
		}
	}
}

// decodeField decodes the value of a key into the field dst.
func (d *decoder) decodeField(key string, value toml.Primitive, dst reflect.Value) {
	switch {
	case isTable(dst.Type()):
		var inner map[string]toml.Primitive
		if d.decodePrimitive(key, value, &inner) && d.isTableValue(key, inner) {
			d.decodeTable(key, inner, dst)
		}
	case dst.Kind() == reflect.Slice && isTable(dst.Type().Elem()):
		var elements []map[string]toml.Primitive
		if d.decodePrimitive(key, value, &elements) {
			d.decodeElements(key, elements, dst)
		}
	default:
		d.decodePrimitive(key, value, dst.Addr().Interface())
	}
}

// decodeElements decodes an array of tables into the slice of structs dst.
func (d *decoder) decodeElements(key string, elements []map[string]toml.Primitive, dst reflect.Value) {
	dst.Set(reflect.MakeSlice(dst.Type(), len(elements), len(elements)))
	for i, element := range elements {
		path := Element(key, i)
		if d.isTableValue(path, element) {
			d.decodeTable(path, element, dst.Index(i))
		}
	}
}

// isTableValue reports whether a decoded value is a table and records a problem if
// not. The TOML library decodes a value of another type into a nil map without an
// error.
func (d *decoder) isTableValue(key string, inner map[string]toml.Primitive) bool {
	if inner == nil {
		d.addProblem(key, "must be a table")
	}
	return inner != nil
}

// typeMismatch matches the TOML library's error message for a wrong type.
var typeMismatch = regexp.MustCompile(`TOML value has type (\S+); destination has type (\S+)$`)

// messagePrefix matches the position that the TOML library puts before its other
// error messages.
var messagePrefix = regexp.MustCompile(`^toml: (line \d+ )?(\(last key "[^"]*"\): )?`)

// typeNames replaces the type names in the library's messages by those of TOML.
var typeNames = strings.NewReplacer("int64", "integer", "float64", "float", "slice", "array", "bool", "boolean",
	"map[string]interface", "table", "[]interface {}", "array", "[]map[string]interface", "array of tables")

// decodePrimitive decodes a value with the TOML library into dst and reports whether it
// succeeded. If not, it records a problem.
func (d *decoder) decodePrimitive(key string, value toml.Primitive, dst any) bool {
	err := d.metadata.PrimitiveDecode(value, dst)
	if err == nil {
		return true
	}
	if m := typeMismatch.FindStringSubmatch(err.Error()); m != nil {
		d.addProblem(key, "must be of type %s, is %s", typeNames.Replace(m[2]), typeNames.Replace(m[1]))
		return false
	}
	d.addProblem(key, "%s", messagePrefix.ReplaceAllString(err.Error(), ""))
	return false
}

// validate records the problems that dst reports if it is a Validator.
func (d *decoder) validate(path string, dst reflect.Value) {
	validator, ok := dst.Addr().Interface().(Validator)
	if !ok {
		return
	}
	for _, e := range keyErrors(validator.Validate()) {
		key := path
		if e.Key != "" {
			key = joinPath(path, e.Key)
		}
		d.addProblem(key, "%s", e.Text)
	}
}

// textUnmarshaler is the interface type that structs implement whose values are written as
// strings and not as tables.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTable reports whether values of type t are written as tables.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textUnmarshaler)
}
