// Command soak runs gateways as real processes before stand-ins of the users' platform
// under random faults, a run for each seed, and checks what clients and workers saw. It
// exits 1 if a promise was broken, and prints the seeds and what was seen.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/internal/command"
	"acaciawinch/standin/soak"
)

// runTimeout bounds one run: 7 s of faults, the ends of the last ones, recovery and a
// planned stop of each gateway.
const runTimeout = 2 * time.Minute

// options are the command line.
type options struct {
	Bin      string `long:"bin" default:"bin" description:"folder of the built binaries"`
	Seed     uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds    int    `long:"seeds" default:"1" description:"number of seeds"`
	Fresh    bool   `long:"fresh" description:"take the first seed from the clock"`
	Again    bool   `long:"regressions" description:"play the seeds that failed once, in place of others"`
	Jobs     int    `long:"jobs" default:"1" description:"runs at the same time"`
	Gateways int    `long:"gateways" default:"3" description:"gateways of a run"`
	Clients  int    `long:"clients" default:"12" description:"clients of a run"`
	Steps    int    `long:"steps" default:"24" description:"faults and changes of a run"`
	Keep     string `long:"keep" default:"soak-logs" description:"folder for the logs of runs in which a promise was broken"`
	Verbose  bool   `long:"verbose" description:"print the steps as they are made"`
}

func main() {
	var o options
	command.Single(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// chosen returns the seeds to play.
func chosen(o options) []uint64 {
	var seeds []uint64
	if o.Again {
		for _, one := range soak.Regressions {
			seeds = append(seeds, one.Seed)
		}
		return seeds
	}
	first := o.Seed
	if o.Fresh {
		first = uint64(time.Now().UnixNano())
	}
	for i := range o.Seeds {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// run plays all seeds and prints what came of each.
func run(ctx context.Context, o options) error {
	seeds := chosen(o)
	broken := make(chan uint64, len(seeds))
	var group errgroup.Group
	group.SetLimit(o.Jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			held, err := one(ctx, o, seed)
			if !held {
				broken <- seed
			}
			return err
		})
	}
	err := group.Wait()
	close(broken)
	if err != nil {
		return err
	}
	var failed []uint64
	for seed := range broken {
		failed = append(failed, seed)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise: %d", len(failed), len(seeds), failed)
	}
	fmt.Printf("%d seeds, no promise broken\n", len(seeds))
	return nil
}

// one plays one seed and tells whether all promises held.
func one(ctx context.Context, o options, seed uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	settings := soak.Options{Bin: o.Bin, Seed: seed, Gateways: o.Gateways, Clients: o.Clients, Steps: o.Steps,
		Keep: filepath.Join(o.Keep, fmt.Sprint(seed))}
	if o.Verbose {
		settings.Out = os.Stdout
	}
	report, err := soak.Run(ctx, settings)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %d requests, %d served, %d promises broken\n", seed, report.Sent, report.Served, len(report.Violations))
	for _, one := range report.Violations {
		fmt.Println("   ", one)
	}
	return len(report.Violations) == 0, nil
}
