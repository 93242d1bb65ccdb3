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

// seeds are settings of both roles.
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

// FuzzSettings reads settings of any content as those of each role. A refusal names
// a line of the file; what is accepted is accepted again as it was understood.
func FuzzSettings(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ofEntry, ofSide := entry.Defaults(), side.Defaults()
		verifyDecoded(t, text, &ofEntry, func(again []byte) error {
			decoded := entry.Defaults()
			return settings.Decode("again.toml", again, &decoded)
		})
		verifyDecoded(t, text, &ofSide, func(again []byte) error {
			decoded := side.Defaults()
			return settings.Decode("again.toml", again, &decoded)
		})
	})
}

// verifyDecoded decodes settings into dst.
func verifyDecoded(t *testing.T, text []byte, dst any, decode func([]byte) error) {
	err := settings.Decode("f.toml", text, dst)
	if err == nil {
		var printed bytes.Buffer
		assert.NilError(t, toml.NewEncoder(&printed).Encode(dst))
		assert.NilError(t, decode(printed.Bytes()), "%s", printed.String())
		return
	}
	var problems settings.Problems
	assert.Assert(t, errors.As(err, &problems) && len(problems) > 0, "%v", err)
	lines := strings.Count(string(text), "\n") + 1
	for _, p := range problems {
		assert.Assert(t, p.Line >= 1 && p.Line <= lines && p.Text != "", "%v of %d lines", p, lines)
	}
}
