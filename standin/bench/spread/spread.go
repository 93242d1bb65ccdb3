// Package spread measures how long an accepted change of the configuration takes
// until it is in force in every process of a large fleet, and what that costs the
// object API. The fleet carries no load.
package spread

import (
	"context"
	"fmt"
	"os"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
)

// Options say what to run.
type Options struct {
	Bin string
	// Entries and Sides are how many processes of each role run.
	Entries int
	Sides   int
	// Workspaces is how many the configuration holds.
	Workspaces int
	// Changes is how many changes are made under each condition.
	Changes int
	Keep    bool
	// Note is told of progress.
	Note func(format string, args ...any)
}

// Times of a measurement.
const (
	// startTimeout bounds the first spreading of the whole configuration.
	startTimeout = 60 * time.Second
	// forceTimeout bounds the wait for a change.
	forceTimeout = 30 * time.Second
	// idleTime is how long the fleet's calls at rest are counted.
	idleTime = 10 * time.Second
	hostLag  = time.Second
)

// zones are the fleet's availability zones.
var zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}

// measurement is a fleet under measurement.
type measurement struct {
	options Options
	fleet   *harness.Fleet
	// dir holds the operators' files.
	dir string
	// change counts the changes made so far; revision is that of the last.
	change   int
	revision core.Revision
	// frozen holds the processes that are stopped by SIGSTOP.
	frozen map[*harness.Process]bool
}

// Run starts the fleet and measures under each condition.
func Run(ctx context.Context, o Options) (result report.Spread, err error) {
	dir, err := os.MkdirTemp("", "acaciawinch-spread-")
	if err != nil {
		return report.Spread{}, err
	}
	defer os.RemoveAll(dir)
	fleet, err := harness.Start(ctx, harness.Options{
		Deployment: fleetOf(o),
		Bin:        o.Bin,
		HostLag:    hostLag,
		ReportLag:  hostLag,
	})
	if err != nil {
		return report.Spread{}, err
	}
	defer func() {
		fleet.Kill()
		if !o.Keep {
			_ = fleet.RemoveDir() // the result does not depend on it
		}
	}()
	m := &measurement{options: o, fleet: fleet, dir: dir, frozen: map[*harness.Process]bool{}}
	return m.run(ctx)
}

// fleetOf returns the processes that run.
func fleetOf(o Options) deployment.Deployment {
	return deployment.Deployment{
		Name:    "spread",
		Region:  "region-1",
		Zones:   zones,
		Entries: o.Entries,
		Groups: []deployment.Group{{
			Service:   service,
			Kind:      config.KindPool,
			Workers:   o.Sides,
			Capacity:  4,
			ServiceMS: 5,
			Shared:    true,
		}},
	}
}

// run measures the fleet at rest, then under each condition.
func (m *measurement) run(ctx context.Context) (report.Spread, error) {
	result := report.Spread{
		Entries:    m.options.Entries,
		Sides:      m.options.Sides,
		Workspaces: m.options.Workspaces,
	}
	if err := m.load(ctx); err != nil {
		return result, err
	}
	if err := m.rest(ctx, &result); err != nil {
		return result, err
	}
	for _, c := range conditions() {
		one, err := m.under(ctx, c)
		if err != nil {
			return result, fmt.Errorf("%s: %w", c.name, err)
		}
		m.options.Note("%-44s in force everywhere after %s", c.name, one.Times())
		result.Conditions = append(result.Conditions, one)
	}
	return result, nil
}

// load applies the whole configuration and waits until all have it.
func (m *measurement) load(ctx context.Context) error {
	path, err := writeFile(m.dir, "all.toml", configuration(m.options.Workspaces))
	if err != nil {
		return err
	}
	began := time.Now()
	m.revision, err = m.fleet.Accept(ctx, path)
	if err != nil {
		return err
	}
	accepted := time.Now()
	times, err := awaitAll(ctx, m.targets(), m.revision, startTimeout)
	if err != nil {
		return err
	}
	m.options.Note("%d workspaces accepted in %.1f s, in force everywhere %.2f s later",
		m.options.Workspaces, accepted.Sub(began).Seconds(), times.last(accepted).Seconds())
	return nil
}

// rest counts what the fleet spends without any change.
func (m *measurement) rest(ctx context.Context, result *report.Spread) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before, err := m.spent(ctx)
	if err != nil {
		return err
	}
	if err := pause(ctx, idleTime); err != nil {
		return err
	}
	after, err := m.spent(ctx)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	result.RestReads = float64(after.stats.Reads-before.stats.Reads) / seconds
	result.RestWrites = float64(after.stats.Writes-before.stats.Writes) / seconds
	result.Watches = after.stats.Waiting
	result.RestEntry = after.entry.since(before.entry, seconds)
	result.RestSide = after.side.since(before.side, seconds)
	result.Idle = after.machine.IdleShare(before.machine)
	return nil
}

// next writes the operators' file of the next change: another weight for one
// workspace.
func (m *measurement) next() (string, error) {
	m.change++
	one := workspace(m.change%max(m.options.Workspaces, 1), 1+m.change)
	return writeFile(m.dir, "change.toml", declaration{Workspaces: []config.Workspace{one}})
}

// machineNow reads the machine, or returns the zero value: only a share that is
// printed depends on it.
func machineNow() usage.Machine {
	machine, _ := usage.OfMachine()
	return machine
}
