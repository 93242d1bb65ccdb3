package main

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/entry"
	"acaciawinch/gateway"
	"acaciawinch/settings"
	"acaciawinch/side"
)

// row matches a key and its default in a table of the page.
var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\|")

// documented returns the defaults by key of one section of the page.
func documented(t *testing.T, section string) map[string]string {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(page), "\n## "+section+"\n")
	assert.Assert(t, found, section)
	text, _, _ := strings.Cut(after, "\n## ")
	defaults := map[string]string{}
	for _, match := range row.FindAllStringSubmatch(text, -1) {
		defaults[match[1]] = match[2]
	}
	return defaults
}

// collect adds the keys below a struct with their defaults, as the page writes them.
func collect(prefix string, value reflect.Value, defaults map[string]string) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		switch {
		case field.Type.Kind() == reflect.Struct:
			collect(key+".", value.Field(i), defaults)
		case field.Tag.Get("required") == "true":
			defaults[key] = "required"
		case value.Field(i).IsZero() && field.Type.Kind() != reflect.Int:
			defaults[key] = "empty"
		default:
			defaults[key] = fmt.Sprint(value.Field(i))
		}
	}
}

func TestThePageOfSettingsIsThatOfTheCode(t *testing.T) {
	for section, defaults := range map[string]reflect.Value{
		"acaciawinchd entry":   reflect.ValueOf(entry.Defaults()),
		"acaciawinchd side":    reflect.ValueOf(side.Defaults()),
		"acaciawinchd gateway": reflect.ValueOf(gateway.Defaults()),
		"acaciawinch":          reflect.ValueOf(Settings{}),
	} {
		want := map[string]string{}
		collect("", defaults, want)
		assert.DeepEqual(t, documented(t, section), want)
	}
}

func TestTheExamplesOfSettingsAreSound(t *testing.T) {
	entryFile, sideFile, gatewayFile, own := entry.Defaults(), side.Defaults(), gateway.Defaults(), Settings{}
	assert.NilError(t, settings.Load("../examples/gateway.toml", &gatewayFile))
	assert.NilError(t, settings.Load("../examples/entry.toml", &entryFile))
	assert.NilError(t, settings.Load("../examples/side.toml", &sideFile))
	assert.NilError(t, settings.Load("../examples/acaciawinch.toml", &own))
}
