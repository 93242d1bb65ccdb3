// Command demo runs a deployment with real processes on one machine, sends requests of
// each kind, stops all processes gracefully and checks the records of the callers and
// the upstreams for violations. It exits 1 if it finds any.
package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/internal/command"
	"acaciawinch/standin/verdict"
)

// Time limits.
const (
	runTimeout  = 50 * time.Second
	stopTimeout = 20 * time.Second
)

// reportLag is the delay of the upstreams' load reports.
const reportLag = 200 * time.Millisecond

// options are the command-line flags.
type options struct {
	Bin      string `long:"bin" description:"folder of the built binaries"`
	Examples string `long:"examples" default:"examples" description:"folder of the example configurations"`
	Name     string `long:"deployment" choice:"institute" choice:"cascade-grind" default:"institute"`
	Thin     bool   `long:"thin" description:"run one entry and one upstream for each stage, and send one request"`
	Keep     bool   `long:"keep" description:"keep the folder with settings, logs and ledgers"`
}

func main() {
	var o options
	command.Run(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// run starts the deployment, sends the requests, stops the processes and judges the
// records.
func run(ctx context.Context, o options) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	files := []string{
		filepath.Join(o.Examples, o.Name, "pipelines.toml"),
		filepath.Join(o.Examples, o.Name, "workspaces.toml"),
	}
	configuration, err := catalog.Load(files...)
	if err != nil {
		return err
	}
	fleet, err := harness.Start(ctx, harness.Options{
		Deployment:    selectDeployment(o),
		Bin:           o.Bin,
		Configuration: files,
		ReportLag:     reportLag,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	printDeployment(fleet, time.Since(started))
	d := &demo{fleet: fleet, client: caller.New(configuration), pairs: pairsOf(configuration)}
	defer d.client.Close()
	if o.Thin {
		d.runThin(ctx)
	} else {
		d.runFull(ctx)
	}
	awaitStreams := func() {}
	if !o.Thin {
		awaitStreams = d.startStreams(ctx)
	}
	return stopAndJudge(fleet, d, awaitStreams, o.Keep, started)
}

// selectDeployment returns the deployment that the options select.
func selectDeployment(o options) deployment.Deployment {
	switch {
	case o.Thin:
		return deployment.Minimal()
	case o.Name == "cascade-grind":
		return deployment.CascadeGrind()
	}
	return deployment.Institute()
}

// printDeployment prints the size of the deployment and its startup time.
func printDeployment(fleet *harness.Fleet, startup time.Duration) {
	d := fleet.Options.Deployment
	fmt.Printf("%s in %s: %d entries, %d upstreams each with its side, zones %v; ready after %.1f s\n",
		d.Name, d.Region, len(fleet.Entries), len(fleet.Upstreams), d.Zones, startup.Seconds())
}

// stopAndJudge stops all processes gracefully, judges the trial and prints a summary.
func stopAndJudge(fleet *harness.Fleet, d *demo, awaitStreams func(), keep bool, started time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	stopErr := fleet.Stop(ctx)
	awaitStreams()
	d.report(stopErr == nil, "every process stopped on SIGTERM with exit code 0")
	records, err := fleet.Records()
	if err != nil {
		return err
	}
	summary := verdict.Judge(d.client, d.exchanges, records)
	printSummary(summary, time.Since(started))
	if failure := errors.Join(stopErr, d.failure(), checkClean(summary)); failure != nil {
		return fmt.Errorf("%w\nsettings, logs and ledgers: %s", failure, fleet.Dir)
	}
	if keep {
		fmt.Println("settings, logs and ledgers:", fleet.Dir)
		return nil
	}
	return fleet.RemoveDir()
}

// checkClean returns an error unless the summary is clean.
func checkClean(s verdict.Summary) error {
	if s.Clean() {
		return nil
	}
	return errors.New("something happened that must never happen")
}

// maxFindings limits the number of findings that are printed.
const maxFindings = 12

// printSummary prints the counts and the first findings.
func printSummary(s verdict.Summary, total time.Duration) {
	fmt.Printf("\nby the callers' and the upstreams' own records:\n")
	fmt.Printf("  sent %d: answered %d, refused %d, failed %d, unknown %d\n",
		s.Sent, s.Answered, s.NotRun, s.Failed, s.Unknown)
	fmt.Printf("  lost %d, doubled %d, crossed %d, stray %d, falsely not_run %d\n",
		s.Lost, s.Doubled, s.Crossed, s.Stray, s.FalseNotRun)
	for _, finding := range s.Findings[:min(len(s.Findings), maxFindings)] {
		fmt.Println("  !", finding)
	}
	if remaining := len(s.Findings) - maxFindings; remaining > 0 {
		fmt.Printf("  ! and %d more\n", remaining)
	}
	fmt.Printf("took %.1f s\n", total.Seconds())
}
