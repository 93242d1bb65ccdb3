package slopes

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"time"

	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
)

// Options say what to run.
type Options struct {
	Bin string
	// Only selects suites by name; empty runs all.
	Only []string
	// Commit is written to the result.
	Commit string
	// Note is told of progress.
	Note func(format string, args ...any)
}

// Measure is one cost that a suite measures.
type Measure struct {
	Name string
	Unit string
}

// suite is one measurement: what grows, what is measured, and how.
type suite struct {
	name     string
	title    string
	size     string
	measures []Measure
	run      func(ctx context.Context, s *session) ([]Row, error)
}

// session is what the suites of a run share.
type session struct {
	options Options
	// dir holds the operators' files.
	dir string
}

// suites returns all suites in order.
func suites() []suite {
	return slices.Concat(loadSuites(), directSuites(), restSuites(), storeSuites())
}

// Names returns the names of all suites.
func Names() []string {
	var names []string
	for _, s := range suites() {
		names = append(names, s.name)
	}
	return names
}

// Run runs the suites one after the other. On failure it returns what the earlier
// ones measured.
func Run(ctx context.Context, o Options) (Result, error) {
	result := Result{Commit: o.Commit, Cores: runtime.NumCPU()}
	for _, name := range o.Only {
		if !slices.Contains(Names(), name) {
			return result, fmt.Errorf("there is no suite %q", name)
		}
	}
	dir, err := os.MkdirTemp("", "acaciawinch-slopes-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(dir)
	s := &session{options: o, dir: dir}
	began, before := time.Now(), machineNow()
	for _, each := range suites() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, each.name) {
			continue
		}
		one, err := s.measure(ctx, each)
		if err != nil {
			return result, fmt.Errorf("%s: %w", each.name, err)
		}
		result.Suites = append(result.Suites, one)
	}
	result.Seconds = time.Since(began).Seconds()
	result.Idle = machineNow().IdleShare(before)
	return result, nil
}

// measure runs one suite.
func (s *session) measure(ctx context.Context, each suite) (SuiteResult, error) {
	began, before := time.Now(), machineNow()
	rows, err := each.run(ctx, s)
	if err != nil {
		return SuiteResult{}, err
	}
	one := SuiteResult{
		Name: each.name, Title: each.title, Size: each.size, Rows: rows,
		Fits:    fitRows(rows, each.measures),
		Idle:    machineNow().IdleShare(before),
		Seconds: time.Since(began).Seconds(),
	}
	s.options.Note("%-12s %2d points in %3.0f s, machine %2.0f%% idle", one.Name, len(rows), one.Seconds, 100*one.Idle)
	return one, nil
}

// machineNow reads the machine, or returns the zero value: only a share that is
// printed depends on it.
func machineNow() usage.Machine {
	machine, _ := usage.OfMachine()
	return machine
}

// place of every trial.
const (
	region  = "region-1"
	zone    = "zone-1"
	hostLag = 200 * time.Millisecond
)

// start starts a fleet in one zone. The caller must end it with end.
func (s *session) start(ctx context.Context, entries int, settings string, groups ...deployment.Group) (*harness.Fleet, error) {
	return harness.Start(ctx, harness.Options{
		Deployment: deployment.Deployment{
			Name: "slopes", Region: region, Zones: []string{zone}, Entries: entries, Groups: groups,
		},
		Bin:           s.options.Bin,
		HostLag:       hostLag,
		ReportLag:     hostLag,
		EntrySettings: settings,
	})
}

// end kills a fleet and removes its folder.
func end(fleet *harness.Fleet) {
	fleet.Kill()
	_ = fleet.RemoveDir() // the result does not depend on it
}

// apply accepts a declaration and waits until it is in force at the entries.
func (s *session) apply(ctx context.Context, fleet *harness.Fleet, d declaration) error {
	path, err := writeFile(s.dir, "apply.toml", d)
	if err != nil {
		return err
	}
	return fleet.Apply(ctx, path)
}

// entriesOf and sidesOf return the groups of a fleet's processes.
func entriesOf(fleet *harness.Fleet) group {
	g := group{name: "entry"}
	for _, entry := range fleet.Entries {
		g.nodes = append(g.nodes, entryNode(entry))
	}
	return g
}

func sidesOf(fleet *harness.Fleet) group {
	g := group{name: "side"}
	for _, upstream := range fleet.Upstreams {
		g.nodes = append(g.nodes, sideNode(upstream))
	}
	return g
}
