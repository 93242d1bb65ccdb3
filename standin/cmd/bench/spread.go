package main

import (
	"os"
	"path/filepath"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/spread"
	"acaciawinch/standin/internal/command"
)

// spreadCommand measures how long changes of the configuration take to reach all
// processes of a large fleet.
type spreadCommand struct {
	Bin        string `long:"bin" default:"bin" description:"folder of the built binaries"`
	Entries    int    `long:"entries" default:"40" description:"how many entries run"`
	Sides      int    `long:"sides" default:"160" description:"how many sides run"`
	Workspaces int    `long:"workspaces" default:"18000" description:"how many workspaces the configuration holds"`
	Changes    int    `long:"changes" default:"3" description:"how many changes are made under each condition"`
	Out        string `long:"out" description:"folder for the JSON and the page; none if empty"`
	Keep       bool   `long:"keep" description:"keep the folder with settings and logs"`
}

// spreadName is the name of the file with the results.
const spreadName = "spread.json"

// Execute implements flags.Commander.
func (c *spreadCommand) Execute([]string) error {
	ctx, stop := command.SignalContext()
	defer stop()
	result, err := spread.Run(ctx, spread.Options{
		Bin:        c.Bin,
		Entries:    c.Entries,
		Sides:      c.Sides,
		Workspaces: c.Workspaces,
		Changes:    c.Changes,
		Keep:       c.Keep,
		Note:       printProgress,
	})
	if err != nil {
		printProgress("spread: %v", err)
		return err
	}
	if err := printTables(result.Tables()); err != nil || c.Out == "" {
		return err
	}
	if err := writeJSON(filepath.Join(c.Out, spreadName), result); err != nil {
		return err
	}
	return writePage(c.Out)
}

// printTables writes tables to the standard output.
func printTables(tables []report.Table) error {
	for _, table := range tables {
		if err := table.WriteText(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
