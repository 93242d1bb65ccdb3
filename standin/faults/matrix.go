// Package faults is the fault matrix: every fault at every step, with the real
// binaries as separate processes. Verdicts come from the records of the callers
// and of the stand-in upstreams, never from the system's own logs.
package faults

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Cells returns all cells of the matrix.
func Cells() []Cell {
	var cells []Cell
	for _, f := range append(singleFaults(), combinedFaults()...) {
		for _, step := range steps() {
			cells = append(cells, requestCell(f, step))
		}
		for _, step := range courseSteps() {
			cells = append(cells, courseCell(f, step))
		}
	}
	cells = append(cells, ownCells()...)
	return append(cells, togetherCells()...)
}

// ownCells returns the cells of faults that only courses meet.
func ownCells() []Cell {
	var cells []Cell
	for _, f := range slices.Concat(changeFaults(), placementFaults(), oldPlanFaults(), drainFaults()) {
		for _, step := range courseSteps() {
			if slices.Contains(f.At, step.Kind) {
				c := courseCell(f, step)
				c.Excluded = ""
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// Filter returns the cells whose fault and step contain the given texts.
func Filter(cells []Cell, fault, step string) []Cell {
	var chosen []Cell
	for _, c := range cells {
		if strings.Contains(c.Fault, fault) && strings.Contains(c.Step, step) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// Run plays the cells, at most parallel at a time, and returns the reports in
// the cells' order. It calls done with each report as it comes.
func Run(ctx context.Context, bin string, cells []Cell, parallel int, done func(Report)) []Report {
	reports := make([]Report, len(cells))
	finished := make(chan int, len(cells))
	var group errgroup.Group
	group.SetLimit(parallel)
	go func() {
		for i, cell := range cells {
			group.Go(func() error {
				reports[i] = cell.Play(ctx, bin)
				finished <- i
				return nil
			})
		}
	}()
	for range cells {
		done(reports[<-finished])
	}
	return reports
}
