package gateway

import (
	"maps"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
	"acaciawinch/settings"
)

// exampleText returns the text of the example settings file.
func exampleText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../examples/gateway.toml")
	assert.NilError(t, err)
	return string(text)
}

func TestWrongSettingsAreNamed(t *testing.T) {
	for change, message := range map[string]string{
		"zone = \"sala-inaquito\"\n|":                      "process.zone: missing",
		"memory_mb = 284|memory_mb = 284\nregions = \"z\"": "process.regions: must be zone=region",
		"memory_mb = 284|memory_mb = 1":                    "process.memory_mb: must be from 16",
		"\"127.0.0.1:8625\"|\"localhost:8625\"":            "listen.clients: must be IP:port",
		"revoke_ms = 5000|revoke_ms = 0":                   "bounds.revoke_ms: must be at least 1",
		"grace_s = 8|grace_s = 8\nevacuate_ms = 10":        "bounds.evacuate_ms: must be 0 or at least 200",
		"retry_ratio = 0.2|retry_ratio = 2.0":              "bounds.retry_ratio: must be from 0 to 1",
		"[fleet]|[log]\nlevel = \"loud\"\n[fleet]":         "log.level: must be debug",
		"retry_slack = 54|retry_slack = 54\nmore = 1":      "bounds.more: unknown key",
	} {
		from, to, _ := strings.Cut(change, "|")
		text := strings.Replace(exampleText(t), from, to, 1)
		assert.Assert(t, text != exampleText(t), from)
		loaded := Defaults()
		assert.ErrorContains(t, settings.Decode("g.toml", []byte(text), &loaded), message)
	}
}

// placeholder matches a placeholder for a platform value in the template.
var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// platformValues are values as the platform fills them in.
var platformValues = map[string]string{
	"node_name": "edge-1", "zone": "sala-inaquito", "ip": "10.1.0.41", "limits.memory_mb": "284", "limits.link_mbps": "1000.0", "limits.cpu_share": "0.304",
	"listen.frontend": "10.1.0.41:8625", "listen.readiness": "10.1.0.41:8621", "internal_ports.0": "7740", "internal_ports.1": "7755",
	"platform.address": "10.200.1.7:8624", "bounds.revoke_ms": "5000", "bounds.config_apply_ms": "4000", "bounds.grace_s": "8",
	"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "54",
	"bootstrap": "true",
}

// unquoted matches values that JSON does not quote.
var unquoted = regexp.MustCompile(`^([0-9.]+|true|false)$`)

// section matches a part of the template that is kept only if the platform has a value for it.
var section = regexp.MustCompile(`(?s)\{\{#([a-z_0-9.]+)\}\}(.*?)\{\{/[a-z_0-9.]+\}\}`)

// optionalValues are values that the platform fills in only where zones may be evacuated and
// upstreams start cold.
var optionalValues = map[string]string{"bounds.evacuate_ms": "5000", "bounds.cold_overrun": "1.5", "bounds.cold_slack": "5"}

// zonesSection is the loop over the zones and their regions in the template.
const zonesSection = "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}"

// fill returns the settings decoded from the template filled in with values.
func fill(t *testing.T, values map[string]string) Settings {
	t.Helper()
	template, err := os.ReadFile("../deploy/gateway.toml.tmpl")
	assert.NilError(t, err)
	listed := strings.Replace(string(template), zonesSection, "sala-inaquito=sierra-norte,sala-carcelen=sierra-norte", 1)
	present := section.ReplaceAllStringFunc(listed, func(found string) string {
		match := section.FindStringSubmatch(found)
		if _, known := values[match[1]]; !known {
			return ""
		}
		return match[2]
	})
	filled := placeholder.ReplaceAllStringFunc(present, func(found string) string {
		match := placeholder.FindStringSubmatch(found)
		value, known := values[match[1]]
		assert.Check(t, known, "the platform has no value for %s", match[1])
		if match[2] != "" && !unquoted.MatchString(value) {
			return strconv.Quote(value)
		}
		return value
	})
	loaded := Defaults()
	assert.NilError(t, settings.Decode("node.toml", []byte(filled), &loaded))
	return loaded
}

func TestDeployTemplateYieldsValidSettings(t *testing.T) {
	loaded := fill(t, platformValues)
	assert.Equal(t, loaded.Listen.Fleet, "10.1.0.41:7740")
	assert.Assert(t, loaded.Fleet.FirstStart)
	regions, err := loaded.Process.regions()
	assert.NilError(t, err)
	assert.DeepEqual(t, regions, map[string]string{"sala-inaquito": "sierra-norte", "sala-carcelen": "sierra-norte"})
	want := BoundSettings{RevokeMS: 5000, ConfigApplyMS: 4000, GraceSeconds: 8, RetryRatio: 0.2, RetrySlack: 54, ColdOverrun: 1}
	assert.Equal(t, loaded.Bounds, want)

	all := maps.Clone(platformValues)
	maps.Copy(all, optionalValues)
	want.EvacuateMS, want.ColdOverrun, want.ColdSlack = 5000, 1.5, 5
	assert.Equal(t, fill(t, all).Bounds, want)
}

// TestApplyWithinIsTheShorterOfBothBounds guards against a gateway that leaves a stale source
// too late for the shorter of config_apply_ms and evacuate_ms.
func TestApplyWithinIsTheShorterOfBothBounds(t *testing.T) {
	assert.Equal(t, (&BoundSettings{ConfigApplyMS: 4000}).applyWithin(), 4*time.Second)
	assert.Equal(t, (&BoundSettings{ConfigApplyMS: 4000, EvacuateMS: 3000}).applyWithin(), 3*time.Second)
	assert.Equal(t, (&BoundSettings{ConfigApplyMS: 4000, EvacuateMS: 5000}).applyWithin(), 4*time.Second)
}

func TestKeysAreTrustedShorterThanTheBound(t *testing.T) {
	assert.Equal(t, (&BoundSettings{RevokeMS: 5000}).confirmWithin(), 4500*time.Millisecond)
}

func TestChangedSettingsAreAppliedAndUnreadableOnesChangeNothing(t *testing.T) {
	var log strings.Builder
	logger, err := observe.NewLogger(&log, "g", "info")
	assert.NilError(t, err)
	current := Defaults()
	text := exampleText(t)
	load := func() (Settings, error) {
		loaded := Defaults()
		err := settings.Decode("g.toml", []byte(text), &loaded)
		return loaded, err
	}
	var applied []Settings
	r := newReloader(current, load, func(s Settings) { applied = append(applied, s) }, logger)
	r.poll(false)
	assert.Equal(t, len(applied), 1)
	r.poll(false)
	assert.Equal(t, len(applied), 1, "unchanged settings are not applied again")

	text = "["
	r.poll(false)
	r.poll(false)
	assert.Equal(t, len(applied), 1)
	assert.Equal(t, strings.Count(log.String(), "\"level\":\"warn\""), 1, "a file that stays unreadable is logged once")

	text = strings.Replace(exampleText(t), "127.0.0.1:8624", "127.0.0.1:8699", 1)
	r.poll(true)
	assert.Equal(t, applied[1].Store.Address, "127.0.0.1:8699")
}
