package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/scenario"
	"acaciawinch/standin/bench/trial"
	"acaciawinch/standin/internal/command"
)

// loadCommand runs the benchmark cases, which combine load and faults.
type loadCommand struct {
	Bin      string `long:"bin" default:"bin" description:"folder of the built binaries"`
	Examples string `long:"examples" default:"examples" description:"folder of the example configurations"`
	Sizes    string `long:"sizes" description:"which sizes, separated by commas; all if empty"`
	Cases    string `long:"cases" description:"which cases, separated by commas; all if empty"`
	Policies string `long:"policies" description:"which policies, separated by commas; all if empty"`
	Seconds  int    `long:"seconds" description:"length of each case, in place of its own"`
	Seed     uint64 `long:"seed" default:"1" description:"fixes the arrivals"`
	Parallel bool   `long:"parallel" description:"run the sizes side by side"`
	Version  string `long:"version" description:"the commit that is measured"`
	Add      bool   `long:"add" description:"keep the results in the folder for cases that are not run"`
	Out      string `long:"out" description:"folder for the JSON, the plots and the page; none if empty"`
	Keep     bool   `long:"keep" description:"keep the folders with settings, logs and ledgers"`
	// MinIdle and Repeats limit the influence of other work on the machine on a trial.
	MinIdle float64 `long:"min-idle" default:"0.25" description:"a trial is repeated if less of the machine than this part was idle"`
	Repeats int     `long:"repeats" default:"2" description:"how often a trial is repeated at most"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := command.SignalContext()
	defer stop()
	plan, err := c.plan()
	if err != nil {
		return err
	}
	run := report.Run{
		Began:   time.Now().UTC().Truncate(time.Second),
		Command: "bench " + strings.Join(os.Args[1:], " "),
		Cores:   runtime.NumCPU(),
	}
	results := make([][]report.Trial, len(plan))
	failures := make([]error, len(plan))
	var group errgroup.Group
	if !c.Parallel {
		group.SetLimit(1)
	}
	for i, trials := range plan {
		group.Go(func() error {
			results[i], failures[i] = c.runSequentially(ctx, trials)
			return nil
		})
	}
	_ = group.Wait() // the functions return nil; their errors are in failures
	run.Trials = slices.Concat(results...)
	return errors.Join(append(failures, c.publish(run))...)
}

// runSequentially runs trials one after the other. A trial that can't be run has no
// result; its error is returned.
func (c *loadCommand) runSequentially(ctx context.Context, trials []trial.Options) ([]report.Trial, error) {
	var results []report.Trial
	var failures []error
	for _, o := range trials {
		result, err := c.runWhenIdle(ctx, o)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		results = append(results, result)
	}
	return results, errors.Join(failures...)
}

// publish prints the tables and writes the files.
func (c *loadCommand) publish(run report.Run) error {
	if err := printTables(run.Tables()); err != nil || c.Out == "" {
		return err
	}
	if err := c.mergeEarlier(&run); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(c.Out, jsonName), run); err != nil {
		return err
	}
	return writePage(c.Out)
}

// mergeEarlier adds the results of earlier runs to run if c.Add is set.
func (c *loadCommand) mergeEarlier(run *report.Run) error {
	if !c.Add {
		return nil
	}
	var earlier report.Run
	if err := readJSON(filepath.Join(c.Out, jsonName), &earlier); err != nil {
		return err
	}
	run.Merge(earlier)
	return nil
}

// plan returns the trials of each size in order. The policies of a case run one after
// the other, so that other work on the machine affects them alike.
func (c *loadCommand) plan() ([][]trial.Options, error) {
	sizes, err := scenario.Select(scenario.Sizes(), c.Sizes, func(s scenario.Size) string { return s.Name })
	if err != nil {
		return nil, err
	}
	cases, err := scenario.Select(scenario.Cases(), c.Cases, func(c scenario.Case) string { return c.Name })
	if err != nil {
		return nil, err
	}
	policies, err := scenario.Select(scenario.Policies(), c.Policies, func(p scenario.Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	var plan [][]trial.Options
	for _, size := range sizes {
		var trials []trial.Options
		for _, benchCase := range cases {
			for _, policy := range policies {
				trials = append(trials, trial.Options{
					Bin:      c.Bin,
					Examples: c.Examples,
					Size:     size,
					Case:     benchCase.Scaled(time.Duration(c.Seconds) * time.Second),
					Policy:   policy,
					Seed:     c.Seed,
					Keep:     c.Keep,
				})
			}
		}
		plan = append(plan, trials)
	}
	return plan, nil
}

// jsonName is the name of the file with a run's results.
const jsonName = "bench.json"

// writeJSON writes results to a file and creates its folder.
func writeJSON[T any](path string, results T) error {
	data, err := json.Marshal(results)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
