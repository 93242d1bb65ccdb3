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

// table decodes a table into the struct dst.
func (d *decoder) table(path string, values map[string]toml.Primitive, dst reflect.Value) {
	before := len(d.problems)
	known := map[string]bool{}
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		name := keyOf(field)
		known[name] = true
		key := join(path, name)
		value, present := values[name]
		if present {
			d.value(key, value, dst.Field(i))
			continue
		}
		d.absent(key, field, dst.Field(i))
	}
	d.rejectUnknown(path, values, known)
	if len(d.problems) == before {
		d.validate(path, dst)
	}
}

// keyOf returns the TOML key of a field: its tag, or else its name.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// absent handles a field whose key is not in the file. A missing table is treated
// as an empty one, so that its required keys are reported.
func (d *decoder) absent(key string, field reflect.StructField, dst reflect.Value) {
	if field.Tag.Get("required") == "true" {
		d.addProblem(key, "missing")
		return
	}
	if isTable(field.Type) {
		d.table(key, nil, dst)
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
			d.addProblem(join(path, name), "unknown key; known here are %s", strings.Join(names, ", "))
		}
	}
}

// value decodes a value into the field dst.
func (d *decoder) value(key string, value toml.Primitive, dst reflect.Value) {
	switch {
	case isTable(dst.Type()):
		var inner map[string]toml.Primitive
		if d.decode(key, value, &inner) && d.isTableValue(key, inner) {
			d.table(key, inner, dst)
		}
	case dst.Kind() == reflect.Slice && isTable(dst.Type().Elem()):
		var elements []map[string]toml.Primitive
		if d.decode(key, value, &elements) {
			d.elements(key, elements, dst)
		}
	default:
		d.decode(key, value, dst.Addr().Interface())
	}
}

// elements decodes an array of tables into the slice of structs dst.
func (d *decoder) elements(key string, elements []map[string]toml.Primitive, dst reflect.Value) {
	dst.Set(reflect.MakeSlice(dst.Type(), len(elements), len(elements)))
	for i, element := range elements {
		path := Element(key, i)
		if d.isTableValue(path, element) {
			d.table(path, element, dst.Index(i))
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

// typeNames replaces the library's type names by those of TOML.
var typeNames = strings.NewReplacer("int64", "integer", "float64", "float", "slice", "array", "bool", "boolean",
	"map[string]interface", "table", "[]interface {}", "array", "[]map[string]interface", "array of tables")

// decode decodes a value into dst and reports whether it succeeded.
func (d *decoder) decode(key string, value toml.Primitive, dst any) bool {
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
			key = join(path, e.Key)
		}
		d.addProblem(key, "%s", e.Text)
	}
}

// textUnmarshaler is the type of the interface of values that are written as
// strings.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTable reports whether values of type t are written as tables.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textUnmarshaler)
}
