// Package faults is the fault matrix: every fault at every step, with the real binaries
// as separate processes. A cell is one fault at one step, run on a site, a deployment of
// its own. The steps belong either to one request or to a scenario (a "course" on the
// page): a configuration change, a placement change, a drain or the removal of old
// configuration under traffic. An entry is a gateway process, a side the sidecar of an
// upstream. The claimed stage of a request is its non-idempotent one: the entry writes a
// claim to the object API before it dispatches that stage. Verdicts are based on the
// records of the callers and of the stand-in upstreams, never on the logs of the system
// under test.
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
		for _, step := range scenarioSteps() {
			cells = append(cells, scenarioCell(f, step))
		}
	}
	cells = append(cells, scenarioOnlyCells()...)
	return append(cells, concurrentCells()...)
}

// scenarioOnlyCells returns the cells of faults that happen in scenarios only.
func scenarioOnlyCells() []Cell {
	var cells []Cell
	for _, f := range slices.Concat(changeFaults(), placementFaults(), stalePlanFaults(), drainFaults()) {
		for _, step := range scenarioSteps() {
			if slices.Contains(f.ScenarioSteps, step.Kind) {
				c := scenarioCell(f, step)
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

// Run runs the cells, at most parallel at a time, and returns the reports in the order
// of the cells. It calls done with each report as the cell ends.
func Run(ctx context.Context, bin string, cells []Cell, parallel int, done func(Report)) []Report {
	reports := make([]Report, len(cells))
	finished := make(chan int, len(cells))
	var group errgroup.Group
	group.SetLimit(parallel)
	go func() {
		for i, cell := range cells {
			group.Go(func() error {
				reports[i] = cell.Run(ctx, bin)
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
