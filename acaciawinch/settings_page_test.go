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

// tableRow matches a key and its default in a table of the settings page.
var tableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\|")

// documentedDefaults returns the defaults by key in one section of the page.
func documentedDefaults(t *testing.T, section string) map[string]string {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(page), "\n## "+section+"\n")
	assert.Assert(t, found, section)
	text, _, _ := strings.Cut(after, "\n## ")
	defaults := map[string]string{}
	for _, match := range tableRow.FindAllStringSubmatch(text, -1) {
		defaults[match[1]] = match[2]
	}
	return defaults
}

// collectDefaults adds the keys of a settings struct and their defaults, in the
// notation of the page.
func collectDefaults(prefix string, value reflect.Value, defaults map[string]string) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		switch {
		case field.Type.Kind() == reflect.Struct:
			collectDefaults(key+".", value.Field(i), defaults)
		case field.Tag.Get("required") == "true":
			defaults[key] = "required"
		case value.Field(i).IsZero() && field.Type.Kind() != reflect.Int:
			defaults[key] = "empty"
		default:
			defaults[key] = fmt.Sprint(value.Field(i))
		}
	}
}

func TestSettingsPageMatchesTheCode(t *testing.T) {
	for section, defaults := range map[string]reflect.Value{
		"acaciawinchd entry":   reflect.ValueOf(entry.Defaults()),
		"acaciawinchd side":    reflect.ValueOf(side.Defaults()),
		"acaciawinchd gateway": reflect.ValueOf(gateway.Defaults()),
		"acaciawinch":          reflect.ValueOf(Settings{}),
	} {
		want := map[string]string{}
		collectDefaults("", defaults, want)
		assert.DeepEqual(t, documentedDefaults(t, section), want)
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	entryFile, sideFile, gatewayFile, own := entry.Defaults(), side.Defaults(), gateway.Defaults(), Settings{}
	assert.NilError(t, settings.Load("../examples/gateway.toml", &gatewayFile))
	assert.NilError(t, settings.Load("../examples/entry.toml", &entryFile))
	assert.NilError(t, settings.Load("../examples/side.toml", &sideFile))
	assert.NilError(t, settings.Load("../examples/acaciawinch.toml", &own))
}
