package main

import (
	"context"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/trial"
	"acaciawinch/standin/bench/usage"
)

// How long a trial waits for other work on the machine to end, and over which
// time the machine is watched.
const (
	calmTimeout  = 20 * time.Second
	calmInterval = time.Second
	// calmShare is the idle part of the machine that a trial waits for: what the
	// trial itself needs comes on top of the part that it is judged by.
	calmShare = 0.2
)

// calmTrial runs one trial, and runs it again if the machine was busy with other
// work. Only the idle share decides, never the figures that are measured; of all
// runs the one with the most idle machine counts.
func (c *loadCommand) calmTrial(ctx context.Context, o trial.Options) (report.Trial, error) {
	var best report.Trial
	for run := range c.Repeats + 1 {
		awaitCalm(ctx, c.MinIdle+calmShare)
		result, err := c.trial(ctx, o)
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

// awaitCalm waits until a part of the machine is idle, or for a time at most.
func awaitCalm(ctx context.Context, share float64) {
	ctx, cancel := context.WithTimeout(ctx, calmTimeout)
	defer cancel()
	ticker := time.NewTicker(calmInterval)
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

// trial runs one trial and prints a line about it.
func (c *loadCommand) trial(ctx context.Context, o trial.Options) (report.Trial, error) {
	began := time.Now()
	result, dir, err := trial.Run(ctx, o)
	if err != nil {
		note("%s, %s, %s: %v (folder %s)", o.Size.Name, o.Case.Name, o.Policy.Name, err, dir)
		return report.Trial{}, err
	}
	result.Began = began.UTC().Truncate(time.Second)
	result.Version = c.Version
	note("%-13s %-15s %-11s attained %6.2f%% of %4d, others %6.2f%%, in time %5.1f/s, extra passes %5.2f%%, idle %3.0f%%, violations %d, %4.1f s %s",
		result.Size, result.Case, result.Policy, 100*result.Judged.Attainment, result.Judged.Sent,
		100*result.Others.Attainment, result.Goodput, 100*result.Generation().Extra,
		100*result.Nodes.IdleShare, result.Violations, time.Since(began).Seconds(), dir)
	return result, nil
}
