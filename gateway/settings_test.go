package gateway

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
	"acaciawinch/settings"
)

// example returns the text of the example settings.
func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../examples/gateway.toml")
	assert.NilError(t, err)
	return string(text)
}

func TestWrongSettingsAreNamed(t *testing.T) {
	for change, message := range map[string]string{
		"zone = \"sala-inaquito\"\n|":                 "process.zone: missing",
		"memory_mb = 284|memory_mb = 1":               "process.memory_mb: must be from 16",
		"\"127.0.0.1:8625\"|\"localhost:8625\"":       "listen.clients: must be IP:port",
		"revoke_ms = 5000|revoke_ms = 0":              "bounds.revoke_ms: must be at least 1",
		"retry_ratio = 0.2|retry_ratio = 2.0":         "bounds.retry_ratio: must be from 0 to 1",
		"[fleet]|[log]\nlevel = \"loud\"\n[fleet]":    "log.level: must be debug",
		"retry_slack = 54|retry_slack = 54\nmore = 1": "bounds.more: unknown key",
	} {
		from, to, _ := strings.Cut(change, "|")
		text := strings.Replace(example(t), from, to, 1)
		assert.Assert(t, text != example(t), from)
		loaded := Defaults()
		assert.ErrorContains(t, settings.Decode("g.toml", []byte(text), &loaded), message)
	}
}

func TestKeysAreTrustedShorterThanTheBound(t *testing.T) {
	assert.Equal(t, (&BoundSettings{RevokeMS: 5000}).confirmWithin(), 4500*time.Millisecond)
}

func TestChangedSettingsAreAppliedAndUnreadableOnesChangeNothing(t *testing.T) {
	var log strings.Builder
	logger, err := observe.NewLogger(&log, "g", "info")
	assert.NilError(t, err)
	current := Defaults()
	text := example(t)
	load := func() (Settings, error) {
		loaded := Defaults()
		err := settings.Decode("g.toml", []byte(text), &loaded)
		return loaded, err
	}
	var applied []Settings
	r := newReloader(current, load, func(s Settings) { applied = append(applied, s) }, logger)
	r.look(false)
	assert.Equal(t, len(applied), 1)
	r.look(false)
	assert.Equal(t, len(applied), 1, "nothing has changed")

	text = "["
	r.look(false)
	r.look(false)
	assert.Equal(t, len(applied), 1)
	assert.Equal(t, strings.Count(log.String(), "\"level\":\"warn\""), 1, "a file that stays unreadable is logged once")

	text = strings.Replace(example(t), "127.0.0.1:8624", "127.0.0.1:8699", 1)
	r.look(true)
	assert.Equal(t, applied[1].Store.Address, "127.0.0.1:8699")
}
