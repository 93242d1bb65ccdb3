// Command demo runs a deployment with real processes on one machine, sends
// requests of each kind, stops everything gracefully and judges the trial by the
// callers' and the upstreams' own records. It exits 1 on any violation.
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

// reportLag is how late the upstreams report their load.
const reportLag = 200 * time.Millisecond

// options are the command line.
type options struct {
	Bin      string `long:"bin" description:"folder of the built binaries"`
	Examples string `long:"examples" default:"examples" description:"folder of the example configurations"`
	Name     string `long:"deployment" choice:"institute" choice:"cascade-grind" default:"institute"`
	Thin     bool   `long:"thin" description:"run one entry and one upstream for each stage, and send one request"`
	Keep     bool   `long:"keep" description:"keep the folder with settings, logs and ledgers"`
}

func main() {
	var o options
	command.Single(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// run starts the deployment, carries out the demonstration and judges it.
func run(ctx context.Context, o options) error {
	began := time.Now()
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
		Deployment:    chosen(o),
		Bin:           o.Bin,
		Configuration: files,
		ReportLag:     reportLag,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	describe(fleet, time.Since(began))
	d := &demo{fleet: fleet, client: caller.New(configuration), pairs: pairsOf(configuration)}
	defer d.client.Close()
	if o.Thin {
		d.thin(ctx)
	} else {
		d.full(ctx)
	}
	awaitStreams := func() {}
	if !o.Thin {
		awaitStreams = d.beginStreams(ctx)
	}
	return finish(fleet, d, awaitStreams, o.Keep, began)
}

// chosen returns the deployment that the options name.
func chosen(o options) deployment.Deployment {
	switch {
	case o.Thin:
		return deployment.Thin()
	case o.Name == "cascade-grind":
		return deployment.CascadeGrind()
	}
	return deployment.Institute()
}

// describe prints what runs.
func describe(fleet *harness.Fleet, startup time.Duration) {
	d := fleet.Options.Deployment
	fmt.Printf("%s in %s: %d entries, %d upstreams each with its side, zones %v; ready after %.1f s\n",
		d.Name, d.Region, len(fleet.Entries), len(fleet.Upstreams), d.Zones, startup.Seconds())
}

// finish stops all processes gracefully, judges the trial and prints a summary.
func finish(fleet *harness.Fleet, d *demo, awaitStreams func(), keep bool, began time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	stopped := fleet.Stop(ctx)
	awaitStreams()
	d.report(stopped == nil, "every process stopped on SIGTERM with exit code 0")
	records, err := fleet.Records()
	if err != nil {
		return err
	}
	summary := verdict.Judge(d.client, d.exchanges, records)
	printSummary(summary, time.Since(began))
	if failure := errors.Join(stopped, d.failure(), violation(summary)); failure != nil {
		return fmt.Errorf("%w\nsettings, logs and ledgers: %s", failure, fleet.Dir)
	}
	if keep {
		fmt.Println("settings, logs and ledgers:", fleet.Dir)
		return nil
	}
	return fleet.RemoveDir()
}

// violation returns an error unless the summary is clean.
func violation(s verdict.Summary) error {
	if s.Clean() {
		return nil
	}
	return errors.New("something happened that must never happen")
}

// maxFindings bounds the findings that are printed.
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
	if rest := len(s.Findings) - maxFindings; rest > 0 {
		fmt.Printf("  ! and %d more\n", rest)
	}
	fmt.Printf("took %.1f s\n", total.Seconds())
}
