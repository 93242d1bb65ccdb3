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

// bin is the directory of the binaries that the tests run.
var bin string

// TestMain builds the binaries once.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the binaries, runs the tests and removes the binaries.
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

// slots bounds how many cells run at once.
var slots = make(chan struct{}, 3)

// runCell runs a cell in parallel with the other tests.
func runCell(t *testing.T, c Cell) Report {
	t.Parallel()
	slots <- struct{}{}
	defer func() { <-slots }()
	return c.Run(context.Background(), bin)
}

// cellOf returns the cell of the matrix for a fault and a step.
func cellOf(t *testing.T, fault, step string) Cell {
	cells := Cells()
	i := slices.IndexFunc(cells, func(c Cell) bool { return c.Fault == fault && c.Step == step })
	assert.Assert(t, i >= 0, "no cell %s / %s", fault, step)
	assert.Equal(t, cells[i].Excluded, "")
	return cells[i]
}
