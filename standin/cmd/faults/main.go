// Command faults runs the fault matrix and prints the results as a table. A cell is one
// fault injected at one step of a request or a scenario. It exits 1 if any cell found a
// violation.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/faults"
	"acaciawinch/standin/internal/command"
)

// options are the command-line flags.
type options struct {
	Bin      string `long:"bin" default:"bin" description:"folder of the built binaries"`
	Fault    string `long:"fault" description:"only faults whose name contains this"`
	Step     string `long:"step" description:"only steps whose name contains this"`
	Repeat   int    `long:"repeat" default:"1" description:"how often each cell is run; the table shows the last"`
	Parallel int    `long:"parallel" default:"8" description:"cells at a time, 16 processes each"`
	Page     string `long:"page" description:"write the page to this file"`
	Commit   string `long:"commit" default:"unknown" description:"commit that the binaries were built from"`
	Verbose  bool   `long:"verbose" description:"print each cell as it ends"`
}

func main() {
	var o options
	command.Run(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// run runs the selected cells, prints the table and writes the page if asked to.
func run(ctx context.Context, o options) error {
	started := time.Now()
	cells := slices.Repeat(faults.Filter(faults.Cells(), o.Fault, o.Step), o.Repeat)
	reports := faults.Run(ctx, o.Bin, cells, o.Parallel, func(r faults.Report) { printCell(r, o.Verbose) })
	page := faults.Page{Reports: reports, Commit: o.Commit, Took: time.Since(started)}
	fmt.Print(page.Table())
	fmt.Println(page.Summary())
	if o.Page != "" {
		if err := os.WriteFile(o.Page, []byte(page.Markdown()), 0o644); err != nil {
			return err
		}
	}
	if failed := page.Failed(); failed > 0 {
		return fmt.Errorf("%d cells found violations", failed)
	}
	return nil
}

// printCell prints a failed cell. If verbose is set, it also prints the passed cells
// that are not excluded.
func printCell(r faults.Report, verbose bool) {
	if r.Passed() && (!verbose || r.Excluded != "") {
		return
	}
	status := "ok  "
	if !r.Passed() {
		status = "FAIL"
	}
	fmt.Printf("%s %s / %s: first %s, last %s, %d ms, %+v\n", status, r.Fault, r.Step, r.First, r.Last, r.TookMS, r.Counts)
	for _, finding := range r.Findings {
		fmt.Println("     !", finding)
	}
	if !r.Passed() {
		fmt.Println("     settings, logs and ledgers:", r.Dir)
	}
}
