// Package harness runs trials: it starts the real binaries as processes with
// generated settings on loopback ports, kills, freezes, stops and cuts them, and
// always ends what it started, each by its process id.
package harness

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/deployment"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/objectstore"
)

// BinEnvironment names the environment variable with the folder of the binaries.
const BinEnvironment = "ACACIAWINCH_BIN"

// Options configure a trial.
type Options struct {
	Deployment deployment.Deployment
	// Bin is the folder of the built binaries; empty means that of
	// BinEnvironment, or "bin".
	Bin string
	// Dir receives settings, logs and ledgers; empty means a new temporary folder.
	Dir string
	// Configuration are the operators' files that Start applies.
	Configuration []string
	// HostLag and ReportLag are how late the host list and the load reports are.
	HostLag   time.Duration
	ReportLag time.Duration
	// Objects bounds the calls that the object API takes.
	Objects objectstore.Limits
	// Relays puts a relay into each connection kind that is set.
	Relays Relays
	// EntrySettings and SideSettings are further TOML tables.
	EntrySettings string
	SideSettings  string
	// LogLevel is the processes' log level; empty means info.
	LogLevel string
	// Intercept, if set, puts something of the trial's own before a listener.
	Intercept Intercept
}

// Relays selects the connections that go through relays.
type Relays struct {
	// Fleet: from any process to an entry's or a side's drpc listener.
	Fleet bool
	// Upstreams: from a side to its upstream.
	Upstreams bool
	// Objects: from each entry and side to the object API, each its own relay.
	Objects bool
	// Callers: from callers to an entry.
	Callers bool
	// Zones: from each zone to each host of another one, and to the host list.
	// It needs Objects, which leads from each process to the object API.
	Zones bool
}

// Entry is an entry process with its addresses.
type Entry struct {
	*Process
	// URL is where callers ask; AdminURL is where operators do.
	URL      string
	AdminURL string
	// Fleet, Callers and Objects are the relays before and behind it, or nil.
	Fleet   *Relay
	Callers *Relay
	Objects *Relay

	listen addresses
}

// Upstream is a stand-in upstream with the side process beside it.
type Upstream struct {
	deployment.Upstream
	Worker *Process
	Side   *Process
	// WorkerURL is the stand-in's address; SideURL is the side's for operators.
	WorkerURL string
	SideURL   string
	// Ledger is the file of the worker's records.
	Ledger string
	// Fleet, Link and Objects are the relays before the side, between the side
	// and the worker, and between the side and the object API, or nil.
	Fleet   *Relay
	Link    *Relay
	Objects *Relay

	listen addresses
}

// addresses are the IP:port pairs of one process.
type addresses struct {
	callers string
	fleet   string
	admin   string
}

// Fleet is a running trial.
type Fleet struct {
	Options   Options
	Dir       string
	Objects   *Process
	Hosts     *Process
	Entries   []*Entry
	Upstreams []*Upstream

	ports      *Ports
	relays     []*Relay
	zoneLinks  []zoneLink
	replaced   []*Process
	objectsURL string
	hostsURL   string
	temporary  bool
}

// startTimeout bounds the start of all processes until they are ready.
const startTimeout = 30 * time.Second

// Start starts a trial and waits until every process is ready. On failure it
// ends what it started.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f, err := prepare(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

// start starts the platform, then the upstreams with their sides and the
// entries, waits until all are ready and applies the configuration.
func (f *Fleet) start(ctx context.Context) error {
	if err := startAll(ctx, []*Process{f.Objects, f.Hosts}); err != nil {
		return err
	}
	for _, process := range f.own() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	if err := awaitAll(ctx, f.own()); err != nil {
		return err
	}
	if len(f.Options.Configuration) == 0 {
		return nil
	}
	return f.Apply(ctx, f.Options.Configuration...)
}

// own returns all processes but the platform's: workers, sides, entries.
func (f *Fleet) own() []*Process {
	return append(append(f.workers(), f.sides()...), f.entries()...)
}

// workers returns the stand-in upstreams, each once.
func (f *Fleet) workers() []*Process {
	var all []*Process
	for _, u := range f.Upstreams {
		if !slices.Contains(all, u.Worker) {
			all = append(all, u.Worker)
		}
	}
	return all
}

// sides returns the side processes.
func (f *Fleet) sides() []*Process {
	var all []*Process
	for _, u := range f.Upstreams {
		all = append(all, u.Side)
	}
	return all
}

// entries returns the entry processes.
func (f *Fleet) entries() []*Process {
	var all []*Process
	for _, e := range f.Entries {
		all = append(all, e.Process)
	}
	return all
}

// Upstream returns the upstream with the given name, or nil.
func (f *Fleet) Upstream(name string) *Upstream {
	for _, u := range f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// Service returns the upstreams of one service.
func (f *Fleet) Service(service string) []*Upstream {
	var found []*Upstream
	for _, u := range f.Upstreams {
		if u.Group.Service == service {
			found = append(found, u)
		}
	}
	return found
}

// Records returns what all upstreams wrote to their ledgers so far.
func (f *Fleet) Records() ([]ledger.Record, error) {
	return ledger.ReadAll(filepath.Join(f.Dir, "ledgers"))
}

// startAll starts processes and waits until they are ready.
func startAll(ctx context.Context, processes []*Process) error {
	for _, process := range processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return awaitAll(ctx, processes)
}

// awaitAll waits until all processes are ready.
func awaitAll(ctx context.Context, processes []*Process) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, process := range processes {
		group.Go(func() error { return process.AwaitReady(ctx) })
	}
	return group.Wait()
}

// Stop stops all processes that run by SIGTERM: entries, then sides, then
// workers, then the platform. It fails if any exits with a code other than 0.
func (f *Fleet) Stop(ctx context.Context) error {
	platform := []*Process{f.Objects, f.Hosts}
	var failures []error
	for _, layer := range [][]*Process{f.entries(), f.sides(), f.workers(), platform} {
		failures = append(failures, terminateAll(ctx, layer))
	}
	f.Kill()
	return errors.Join(failures...)
}

// terminateAll stops the processes that run, all at once.
func terminateAll(ctx context.Context, processes []*Process) error {
	failures := make([]error, len(processes))
	var group errgroup.Group
	for i, process := range processes {
		if !process.Running() {
			continue
		}
		group.Go(func() error {
			failures[i] = process.Terminate(ctx)
			return nil
		})
	}
	_ = group.Wait() // the functions never fail; their errors are kept apart
	return errors.Join(failures...)
}

// Kill ends all processes with SIGKILL and closes the relays. The folder stays.
func (f *Fleet) Kill() {
	for _, process := range append(append(f.own(), f.replaced...), f.Objects, f.Hosts) {
		process.Kill()
	}
	for _, relay := range f.relays {
		relay.Close()
	}
	f.ports.Close()
}

// RemoveDir removes the folder if Start made it.
func (f *Fleet) RemoveDir() error {
	if !f.temporary {
		return nil
	}
	return os.RemoveAll(f.Dir)
}
