package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"

	"acaciawinch/entry"
	"acaciawinch/settings"
	"acaciawinch/side"
)

// seeds holds settings of the entry and side roles, valid and invalid.
var seeds = []string{
	"[process]\nname = \"e\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:1\"\nfleet = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n" +
		"[platform]\nobjects = \"http://127.0.0.1:4\"\nhosts = \"http://127.0.0.1:5\"\n[fleet]\nkey = \"k\"\n",
	"[process]\nname = \"s\"\nzone = \"z\"\n[listen]\nfleet = \"127.0.0.1:1\"\nadmin = \"127.0.0.1:2\"\n" +
		"[platform]\nhosts = \"http://127.0.0.1:4\"\n[fleet]\nkey = \"k\"\n" +
		"[upstream]\nname = \"u\"\nservice = \"s\"\nkind = \"service\"\nurl = \"http://127.0.0.1:6\"\n",
	"[limits]\nbody_bytes = -1\n[[process]]\n[routing]\npolicy = 1e3\n[queue.x]\n",
	"\"\\",
	"process = '''\n'''\n\"listen.callers\" = 0x7fffffffffffffff\n",
}

// FuzzSettings decodes arbitrary settings files for the entry and side roles. Each
// problem must name a line of the file; settings that are accepted must be accepted
// again after they are encoded.
func FuzzSettings(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		entrySettings, sideSettings := entry.Defaults(), side.Defaults()
		verifyDecoded(t, text, &entrySettings, func(encoded []byte) error {
			decoded := entry.Defaults()
			return settings.Decode("again.toml", encoded, &decoded)
		})
		verifyDecoded(t, text, &sideSettings, func(encoded []byte) error {
			decoded := side.Defaults()
			return settings.Decode("again.toml", encoded, &decoded)
		})
	})
}

// verifyDecoded decodes settings into dst and checks the problems, or that decode
// accepts the encoded result.
func verifyDecoded(t *testing.T, text []byte, dst any, decode func([]byte) error) {
	err := settings.Decode("f.toml", text, dst)
	if err == nil {
		var encoded bytes.Buffer
		assert.NilError(t, toml.NewEncoder(&encoded).Encode(dst))
		assert.NilError(t, decode(encoded.Bytes()), "%s", encoded.String())
		return
	}
	var problems settings.Problems
	assert.Assert(t, errors.As(err, &problems) && len(problems) > 0, "%v", err)
	lines := strings.Count(string(text), "\n") + 1
	for _, p := range problems {
		assert.Assert(t, p.Line >= 1 && p.Line <= lines && p.Text != "", "%v of %d lines", p, lines)
	}
}
