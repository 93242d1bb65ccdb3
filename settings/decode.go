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

// decoder fills structs key by key, so that one wrong key doesn't hide the next.
type decoder struct {
	metadata toml.MetaData
	lines    *Lines
	problems Problems
}

// reject records a problem.
func (d *decoder) reject(key, format string, args ...any) {
	d.problems = append(d.problems, d.lines.Problem(key, fmt.Sprintf(format, args...)))
}

// table fills the struct dst from one table.
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
	d.unknown(path, values, known)
	if len(d.problems) == before {
		d.validate(path, dst)
	}
}

// keyOf returns the TOML key of a field.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// absent handles a key that the file doesn't have. A table that is left out is
// treated as an empty one, so that its required keys are missed too.
func (d *decoder) absent(key string, field reflect.StructField, dst reflect.Value) {
	if field.Tag.Get("required") == "true" {
		d.reject(key, "missing")
		return
	}
	if isTable(field.Type) {
		d.table(key, nil, dst)
	}
}

// unknown rejects the keys that no field has.
func (d *decoder) unknown(path string, values map[string]toml.Primitive, known map[string]bool) {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	for name := range values {
		if !known[name] {
			d.reject(join(path, name), "unknown key; known here are %s", strings.Join(names, ", "))
		}
	}
}

// value fills one field.
func (d *decoder) value(key string, value toml.Primitive, dst reflect.Value) {
	switch {
	case isTable(dst.Type()):
		var inner map[string]toml.Primitive
		if d.leaf(key, value, &inner) && d.isTableValue(key, inner) {
			d.table(key, inner, dst)
		}
	case dst.Kind() == reflect.Slice && isTable(dst.Type().Elem()):
		var elements []map[string]toml.Primitive
		if d.leaf(key, value, &elements) {
			d.elements(key, elements, dst)
		}
	default:
		d.leaf(key, value, dst.Addr().Interface())
	}
}

// elements fills a slice of structs.
func (d *decoder) elements(key string, elements []map[string]toml.Primitive, dst reflect.Value) {
	dst.Set(reflect.MakeSlice(dst.Type(), len(elements), len(elements)))
	for i, element := range elements {
		path := Element(key, i)
		if d.isTableValue(path, element) {
			d.table(path, element, dst.Index(i))
		}
	}
}

// isTableValue rejects a value that is no table: the TOML library decodes it
// into a nil map without an error.
func (d *decoder) isTableValue(key string, inner map[string]toml.Primitive) bool {
	if inner == nil {
		d.reject(key, "must be a table")
	}
	return inner != nil
}

// mismatch matches the TOML library's message about a wrong type.
var mismatch = regexp.MustCompile(`TOML value has type (\S+); destination has type (\S+)$`)

// place matches what the TOML library puts before its other messages.
var place = regexp.MustCompile(`^toml: (line \d+ )?(\(last key "[^"]*"\): )?`)

// typeNames holds the TOML words for the library's names of types.
var typeNames = strings.NewReplacer("int64", "integer", "float64", "float", "slice", "array", "bool", "boolean",
	"map[string]interface", "table", "[]interface {}", "array", "[]map[string]interface", "array of tables")

// leaf decodes one value and tells whether it could.
func (d *decoder) leaf(key string, value toml.Primitive, dst any) bool {
	err := d.metadata.PrimitiveDecode(value, dst)
	if err == nil {
		return true
	}
	if m := mismatch.FindStringSubmatch(err.Error()); m != nil {
		d.reject(key, "must be of type %s, is %s", typeNames.Replace(m[2]), typeNames.Replace(m[1]))
		return false
	}
	d.reject(key, "%s", place.ReplaceAllString(err.Error(), ""))
	return false
}

// validate lets dst check itself if it is a Validator.
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
		d.reject(key, "%s", e.Text)
	}
}

// textUnmarshaler is implemented by types that are written as strings.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTable tells whether values of t are written as tables.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textUnmarshaler)
}
