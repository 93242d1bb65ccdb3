// Command soak runs gateways as real processes against stand-ins of the users' platform
// and injects random faults, one run per seed. It checks the system's guarantees against
// the records of clients and workers. If one is violated, it prints the seeds and the
// violations and exits 1.
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

// options are the command-line flags.
type options struct {
	Bin         string        `long:"bin" default:"bin" description:"folder of the built binaries"`
	Seed        uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds       int           `long:"seeds" default:"1" description:"number of seeds"`
	Fresh       bool          `long:"fresh" description:"take the first seed from the clock"`
	Regressions bool          `long:"regressions" description:"play the seeds that failed once, in place of others"`
	Jobs        int           `long:"jobs" default:"1" description:"runs at the same time"`
	Gateways    int           `long:"gateways" default:"3" description:"gateways of a run"`
	Clients     int           `long:"clients" default:"12" description:"clients of a run"`
	Steps       int           `long:"steps" default:"24" description:"faults and changes of a run"`
	Returns     int           `long:"returns" default:"1" description:"how often the store returns from an older copy in a run"`
	Disorders   int           `long:"disorders" default:"4" description:"how often a worker responds out of order or without a mark of the end in a run"`
	Limits      int           `long:"limits" default:"3" description:"how often a worker names a limit on its requests in a run"`
	Versions    int           `long:"versions" default:"2" description:"software versions of the engines that serve side by side; 0 for none"`
	Parts       int           `long:"parts" default:"1" description:"parts of prompts that crash the engines that run them in a run"`
	Silences    int           `long:"silences" default:"3" description:"how often an engine falls silent in a run"`
	Uneven      int           `long:"uneven" default:"3" description:"one of so many engines is slow, and machines are slower at times; 0 for the same pace everywhere"`
	Doubles     int           `long:"doubles" default:"4" description:"how often a worker sends responses twice, at once or late, in a run"`
	Unheard     int           `long:"unheard" default:"2" description:"series of short silences of the store, each right after a change, in a run"`
	Bodies      int           `long:"bodies" default:"1" description:"how often 60 to 240 clients send long bodies at once in a run"`
	Broken      int           `long:"broken" default:"6" description:"how often a worker sends broken heads, answers uploads before it has read them, or an entry of the store can't be decoded, in a run"`
	Timeout     time.Duration `long:"timeout" default:"2m" description:"limit of one run: 7 s in which faults start, the rest of the last faults, recovery, and a planned stop of each gateway"`
	Keep        string        `long:"keep" default:"soak-logs" description:"folder for the logs of runs in which a promise was broken"`
	Verbose     bool          `long:"verbose" description:"print the steps as they are made"`
}

func main() {
	var o options
	command.Run(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// selectSeeds returns the seeds to run.
func selectSeeds(o options) []soak.Regression {
	if o.Regressions {
		return soak.Regressions
	}
	var seeds []soak.Regression
	first := o.Seed
	if o.Fresh {
		first = uint64(time.Now().UnixNano())
	}
	for i := range o.Seeds {
		seeds = append(seeds, soak.Regression{Seed: first + uint64(i), Returns: o.Returns, Disorders: o.Disorders, Limits: o.Limits, Versions: o.Versions, Parts: o.Parts, Silences: o.Silences, Uneven: o.Uneven, Doubles: o.Doubles, Unheard: o.Unheard, Bodies: o.Bodies, Broken: o.Broken})
	}
	return seeds
}

// run runs all seeds, prints the result of each and fails if any violated a guarantee.
func run(ctx context.Context, o options) error {
	seeds := selectSeeds(o)
	failing := make(chan uint64, len(seeds))
	var group errgroup.Group
	group.SetLimit(o.Jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			passed, err := runSeed(ctx, o, seed)
			if !passed {
				failing <- seed.Seed
			}
			return err
		})
	}
	err := group.Wait()
	close(failing)
	if err != nil {
		return err
	}
	var failed []uint64
	for seed := range failing {
		failed = append(failed, seed)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise: %d", len(failed), len(seeds), failed)
	}
	fmt.Printf("%d seeds, no promise broken\n", len(seeds))
	return nil
}

// runSeed runs one seed and reports whether all guarantees held.
func runSeed(ctx context.Context, o options, played soak.Regression) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	seed := played.Seed
	runOptions := soak.Options{Bin: o.Bin, Seed: seed, Returns: played.Returns, Disorders: played.Disorders, Limits: played.Limits, Versions: played.Versions, Parts: played.Parts, Silences: played.Silences, Uneven: played.Uneven, Doubles: played.Doubles, Unheard: played.Unheard, Bodies: played.Bodies, Broken: played.Broken, Gateways: o.Gateways, Clients: o.Clients, Steps: o.Steps,
		Keep: filepath.Join(o.Keep, fmt.Sprint(seed))}
	if o.Verbose {
		runOptions.Out = os.Stdout
	}
	report, err := soak.Run(ctx, runOptions)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %d requests, %d served, %d responses doubled at once, %d late, %d uploads answered early, %d promises broken\n",
		seed, report.Sent, report.Served, report.DoubledAtOnce, report.DoubledLate, report.Early, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Println("   ", violation)
	}
	return len(report.Violations) == 0, nil
}
