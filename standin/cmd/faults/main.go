// Command faults runs the fault matrix and prints it as a table. It exits 1 if
// any cell found a violation.
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

// options are the command line.
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
	command.Single(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// run plays the chosen cells and reports on them.
func run(ctx context.Context, o options) error {
	began := time.Now()
	cells := slices.Repeat(faults.Filter(faults.Cells(), o.Fault, o.Step), o.Repeat)
	reports := faults.Run(ctx, o.Bin, cells, o.Parallel, func(r faults.Report) { printCell(r, o.Verbose) })
	page := faults.Page{Reports: reports, Commit: o.Commit, Took: time.Since(began)}
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

// printCell prints a cell that failed, or any cell if verbose.
func printCell(r faults.Report, verbose bool) {
	if r.Passed() && (!verbose || r.Excluded != "") {
		return
	}
	word := "ok  "
	if !r.Passed() {
		word = "FAIL"
	}
	fmt.Printf("%s %s / %s: first %s, last %s, %d ms, %+v\n", word, r.Fault, r.Step, r.First, r.Last, r.TookMS, r.Counts)
	for _, finding := range r.Findings {
		fmt.Println("     !", finding)
	}
	if !r.Passed() {
		fmt.Println("     settings, logs and ledgers:", r.Dir)
	}
}
