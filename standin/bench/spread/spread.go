// Package spread measures how long an accepted change of the configuration takes
// until it is in force in every process of a large fleet, and how many calls to
// the object API that takes. The fleet carries no load. A change is in force in a
// process as soon as the status of that process shows its revision. A relay is an
// entry that passes the platform's state on to other processes.
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

// Options configure a measurement.
type Options struct {
	Bin string
	// Entries and Sides are the numbers of processes of each role.
	Entries int
	Sides   int
	// Workspaces is the number of workspaces in the configuration.
	Workspaces int
	// Changes is the number of changes made under each condition.
	Changes int
	Keep    bool
	// Note is called with progress messages.
	Note func(format string, args ...any)
}

// Times of a measurement.
const (
	// startTimeout bounds the wait until all processes have the initial configuration.
	startTimeout = 60 * time.Second
	// changeTimeout bounds the wait until a change is in force everywhere.
	changeTimeout = 30 * time.Second
	// idleTime is how long the usage of the idle fleet is measured.
	idleTime = 10 * time.Second
	hostLag  = time.Second
)

// zones are the fleet's availability zones.
var zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}

// measurement holds a running fleet and the state of its measurement.
type measurement struct {
	options Options
	fleet   *harness.Fleet
	// dir is the directory of the configuration files.
	dir string
	// changes counts the changes made so far; revision is that of the last one.
	changes  int
	revision core.Revision
	// frozen holds the processes that were stopped with SIGSTOP.
	frozen map[*harness.Process]bool
}

// Run starts the fleet, measures it idle and then under each condition.
func Run(ctx context.Context, o Options) (result report.Spread, err error) {
	dir, err := os.MkdirTemp("", "acaciawinch-spread-")
	if err != nil {
		return report.Spread{}, err
	}
	defer os.RemoveAll(dir)
	fleet, err := harness.Start(ctx, harness.Options{
		Deployment: fleetDeployment(o),
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

// fleetDeployment returns the deployment of the fleet.
func fleetDeployment(o Options) deployment.Deployment {
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

// run measures the idle fleet, then changes under each condition.
func (m *measurement) run(ctx context.Context) (report.Spread, error) {
	result := report.Spread{
		Entries:    m.options.Entries,
		Sides:      m.options.Sides,
		Workspaces: m.options.Workspaces,
	}
	if err := m.applyInitial(ctx); err != nil {
		return result, err
	}
	if err := m.measureIdle(ctx, &result); err != nil {
		return result, err
	}
	for _, c := range conditions() {
		measured, err := m.measureCondition(ctx, c)
		if err != nil {
			return result, fmt.Errorf("%s: %w", c.name, err)
		}
		m.options.Note("%-44s in force everywhere after %s", c.name, measured.Times())
		result.Conditions = append(result.Conditions, measured)
	}
	return result, nil
}

// applyInitial applies the initial configuration and waits until all processes have it.
func (m *measurement) applyInitial(ctx context.Context) error {
	path, err := writeFile(m.dir, "all.toml", configuration(m.options.Workspaces))
	if err != nil {
		return err
	}
	began := time.Now()
	m.revision, err = m.fleet.Submit(ctx, path)
	if err != nil {
		return err
	}
	accepted := time.Now()
	times, err := awaitAll(ctx, m.targets(), m.revision, startTimeout)
	if err != nil {
		return err
	}
	m.options.Note("%d workspaces accepted in %.1f s, in force everywhere %.2f s later",
		m.options.Workspaces, accepted.Sub(began).Seconds(), times.elapsedSince(accepted).Seconds())
	return nil
}

// measureIdle measures the usage of the fleet while nothing changes.
func (m *measurement) measureIdle(ctx context.Context, result *report.Spread) error {
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	before, err := m.readUsage(ctx)
	if err != nil {
		return err
	}
	if err := wait(ctx, idleTime); err != nil {
		return err
	}
	after, err := m.readUsage(ctx)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	result.IdleReads = float64(after.stats.Reads-before.stats.Reads) / seconds
	result.IdleWrites = float64(after.stats.Writes-before.stats.Writes) / seconds
	result.Watches = after.stats.Waiting
	result.IdleEntry = after.entry.meanSince(before.entry, seconds)
	result.IdleSide = after.side.meanSince(before.side, seconds)
	result.Idle = after.machine.IdleShare(before.machine)
	return nil
}

// writeNextChange writes the configuration file of the next change, which sets
// another weight for one workspace, and returns its path.
func (m *measurement) writeNextChange() (string, error) {
	m.changes++
	one := workspace(m.changes%max(m.options.Workspaces, 1), 1+m.changes)
	return writeFile(m.dir, "change.toml", declaration{Workspaces: []config.Workspace{one}})
}

// readMachine returns the processor time of the machine, or the zero value if it
// cannot be read: only the reported idle share depends on it.
func readMachine() usage.Machine {
	machine, _ := usage.OfMachine()
	return machine
}
