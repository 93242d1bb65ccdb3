package plots

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/bench/report"
)

func TestEachCaseGetsAPlotOfAllPolicies(t *testing.T) {
	dir := t.TempDir()
	series := []report.Second{{Offered: 3, Attained: 2}, {Offered: 4, Attained: 4}}
	run := report.Run{Trials: []report.Trial{
		{Size: "s", Case: "c", Policy: "ours", Series: series},
		{Size: "s", Case: "c", Policy: "other", Series: series},
		{Size: "s", Case: "d", Policy: "ours", Series: series},
	}}
	assert.NilError(t, Draw(run, dir))
	data, err := os.ReadFile(filepath.Join(dir, Name("s", "c")))
	assert.NilError(t, err)
	for _, name := range []string{"offered", "ours, in time", "other, in time"} {
		assert.Assert(t, strings.Contains(string(data), name), name)
	}
	_, err = os.Stat(filepath.Join(dir, Name("s", "d")))
	assert.NilError(t, err)
}
