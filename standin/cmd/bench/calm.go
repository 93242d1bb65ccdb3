package main

import (
	"context"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/trial"
	"acaciawinch/standin/bench/usage"
)

// The longest time for which a trial waits until the machine is idle, and the time
// between two measurements of the machine.
const (
	idleTimeout      = 20 * time.Second
	idlePollInterval = time.Second
	// extraIdleShare is how much more than MinIdle must be idle for a trial to start: the
	// trial's own load reduces the idle share that is compared with MinIdle afterwards.
	extraIdleShare = 0.2
)

// runWhenIdle runs one trial and repeats it if the machine was busy with other work. It
// returns the run with the highest idle share. Only the idle share decides, never the
// measured figures.
func (c *loadCommand) runWhenIdle(ctx context.Context, o trial.Options) (report.Trial, error) {
	var best report.Trial
	for run := range c.Repeats + 1 {
		awaitIdle(ctx, c.MinIdle+extraIdleShare)
		result, err := c.runTrial(ctx, o)
		if err != nil {
			return report.Trial{}, err
		}
		if run == 0 || result.Nodes.IdleShare > best.Nodes.IdleShare {
			best = result
		}
		best.Runs = run + 1
		if best.Nodes.IdleShare >= c.MinIdle {
			break
		}
	}
	return best, nil
}

// awaitIdle waits until the given share of the machine is idle, at most for idleTimeout.
func awaitIdle(ctx context.Context, share float64) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	before, err := usage.OfMachine()
	for err == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var now usage.Machine
		now, err = usage.OfMachine()
		if now.IdleShare(before) >= share {
			return
		}
		before = now
	}
}

// runTrial runs one trial and prints its result in one line.
func (c *loadCommand) runTrial(ctx context.Context, o trial.Options) (report.Trial, error) {
	started := time.Now()
	result, dir, err := trial.Run(ctx, o)
	if err != nil {
		printProgress("%s, %s, %s: %v (folder %s)", o.Size.Name, o.Case.Name, o.Policy.Name, err, dir)
		return report.Trial{}, err
	}
	result.Began = started.UTC().Truncate(time.Second)
	result.Version = c.Version
	printProgress("%-13s %-15s %-11s attained %6.2f%% of %4d, others %6.2f%%, in time %5.1f/s, extra passes %5.2f%%, idle %3.0f%%, violations %d, %4.1f s %s",
		result.Size, result.Case, result.Policy, 100*result.Judged.Attainment, result.Judged.Sent,
		100*result.Others.Attainment, result.Goodput, 100*result.Generation().Extra,
		100*result.Nodes.IdleShare, result.Violations, time.Since(started).Seconds(), dir)
	return result, nil
}
