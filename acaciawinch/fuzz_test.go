package main

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
	"acaciawinch/settings"
)

// FuzzDeclarations decodes arbitrary declaration files. Each problem must name a line
// of the file; a valid configuration must stay the same when printed and read again.
func FuzzDeclarations(f *testing.F) {
	for _, file := range append(examples("institute"), examples("cascade-grind")...) {
		text, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte("[[workspaces]]\nname = \"a\"\nweight = 1\npipelines = [\"p\"]\n[[workspaces.stages]]\nprefix = '''\n'''\n"))
	f.Add([]byte("templates = 1\n[[models]]\nname = \"\\u0000\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d := &declaration{locations: map[declarationKey]location{}}
		if err := d.add("f.toml", text); err != nil {
			verifyProblems(t, text, err)
			return
		}
		for _, problem := range config.Empty().Change(d.change(), 1, "c").Validate() {
			assert.Assert(t, strings.Contains(d.problemText(problem), problem.Text))
		}
		verifyPrint(t, d)
	})
}

// verifyProblems checks that each problem has a text and a line within the file.
func verifyProblems(t *testing.T, text []byte, err error) {
	var problems settings.Problems
	assert.Assert(t, errors.As(err, &problems) && len(problems) > 0, "%v", err)
	lines := strings.Count(string(text), "\n") + 1
	for _, p := range problems {
		assert.Assert(t, p.Line >= 1 && p.Line <= lines && p.Text != "", "%v of %d lines", p, lines)
	}
}

// verifyPrint checks that a valid configuration is the same after it is printed and
// read again.
func verifyPrint(t *testing.T, d *declaration) {
	snapshot := config.Empty().Change(d.change(), 1, "c")
	if len(snapshot.Validate()) > 0 {
		return
	}
	printed, err := encodeTOML(snapshot, fullContent(snapshot))
	assert.NilError(t, err)
	again := &declaration{locations: map[declarationKey]location{}}
	assert.NilError(t, again.add("printed.toml", []byte(printed)), "%s", printed)
	assert.Equal(t, config.Empty().Change(again.change(), 1, "c").Digest(), snapshot.Digest(), "%s", printed)
}
