package faults

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// bin is the folder of the binaries that the tests run.
var bin string

// TestMain builds the binaries once.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds, tests and cleans up.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "acaciawinch-faults-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator),
		"acaciawinch/acaciawinchd", "acaciawinch/acaciawinch", "acaciawinch/standin/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	bin = dir
	return m.Run()
}

// places bounds how many cells run at once.
var places = make(chan struct{}, 3)

// play runs a cell beside the other tests.
func play(t *testing.T, c Cell) Report {
	t.Parallel()
	places <- struct{}{}
	defer func() { <-places }()
	return c.Play(context.Background(), bin)
}

// cellOf returns a cell of the matrix.
func cellOf(t *testing.T, fault, step string) Cell {
	cells := Cells()
	i := slices.IndexFunc(cells, func(c Cell) bool { return c.Fault == fault && c.Step == step })
	assert.Assert(t, i >= 0, "no cell %s / %s", fault, step)
	assert.Equal(t, cells[i].Excluded, "")
	return cells[i]
}
