// Package harness runs trials. A trial is one run of a whole deployment on this
// machine: the real binaries as processes with generated settings on loopback ports,
// against stand-ins of the platform and of the upstreams. The harness kills, freezes
// and stops the processes, cuts their connections, and finally ends each process that
// it started, by its process ID.
//
// A worker is the stand-in process of an upstream. A side is the sidecar process
// beside it.
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

// BinEnvironment is the environment variable that holds the folder of the binaries.
const BinEnvironment = "ACACIAWINCH_BIN"

// Options configure a trial.
type Options struct {
	Deployment deployment.Deployment
	// Bin is the folder of the built binaries; empty means that of
	// BinEnvironment, or "bin".
	Bin string
	// Dir receives settings, logs and ledgers; empty means a new temporary folder.
	Dir string
	// Configuration lists the operators' configuration files that Start applies.
	Configuration []string
	// HostLag and ReportLag are the delays after which changes of the host list and
	// load reports become visible.
	HostLag   time.Duration
	ReportLag time.Duration
	// Objects limits the rate of calls to the object API.
	Objects objectstore.Limits
	// Relays selects the kinds of connections that go through relays.
	Relays Relays
	// EntrySettings and SideSettings are TOML tables that are appended to the
	// settings of each entry and each sidecar.
	EntrySettings string
	SideSettings  string
	// LogLevel is the processes' log level; empty means info.
	LogLevel string
	// Intercept, if set, may place a proxy of the trial in front of a listener.
	Intercept Intercept
}

// Relays selects the connections that go through relays.
type Relays struct {
	// Fleet: from any process to the drpc listener of an entry or a sidecar.
	Fleet bool
	// Upstreams: from a sidecar to its upstream.
	Upstreams bool
	// Objects: from each entry and sidecar to the object API, with one relay each.
	Objects bool
	// Callers: from callers to an entry.
	Callers bool
	// Zones: from each zone to each host of the other zones, and to the host list.
	// It requires Objects, whose relays are used to partition a zone from the object API.
	Zones bool
}

// Entry is an entry process with its addresses.
type Entry struct {
	*Process
	// URL is the address for callers, AdminURL the one for operators.
	URL      string
	AdminURL string
	// Fleet and Callers are the relays to the entry's listeners, Objects is the relay
	// from the entry to the object API. Each is nil if not selected.
	Fleet   *Relay
	Callers *Relay
	Objects *Relay

	listen addresses
}

// Upstream is a stand-in upstream with its sidecar process.
type Upstream struct {
	deployment.Upstream
	Worker *Process
	Side   *Process
	// WorkerURL is the URL of the worker, SideURL the sidecar's URL for operators.
	WorkerURL string
	SideURL   string
	// Ledger is the path of the worker's ledger.
	Ledger string
	// Fleet is the relay to the sidecar, Link the one from the sidecar to the worker,
	// and Objects the one from the sidecar to the object API. Each is nil if not
	// selected.
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

	ports     *Ports
	relays    []*Relay
	zoneLinks []zoneLink
	// replaced holds the sidecars that ReplaceSide replaced, which Kill ends too.
	replaced   []*Process
	objectsURL string
	hostsURL   string
	// temporary is set if Start created Dir as a temporary folder.
	temporary bool
}

// startTimeout limits the time from the start of the processes until all are ready.
const startTimeout = 30 * time.Second

// Start starts a trial and waits until every process is ready. On failure it kills
// the processes that it started.
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

// start starts the platform, then the upstreams with their sidecars and the entries,
// waits until all are ready and applies the configuration.
func (f *Fleet) start(ctx context.Context) error {
	if err := startAll(ctx, []*Process{f.Objects, f.Hosts}); err != nil {
		return err
	}
	for _, process := range f.systemProcesses() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	if err := awaitAll(ctx, f.systemProcesses()); err != nil {
		return err
	}
	if len(f.Options.Configuration) == 0 {
		return nil
	}
	return f.Apply(ctx, f.Options.Configuration...)
}

// systemProcesses returns the processes of the deployment without the stand-ins of the
// platform: workers, sidecars and entries.
func (f *Fleet) systemProcesses() []*Process {
	return append(append(f.workers(), f.sides()...), f.entries()...)
}

// workers returns the worker processes, each once: upstreams may share a worker.
func (f *Fleet) workers() []*Process {
	var all []*Process
	for _, u := range f.Upstreams {
		if !slices.Contains(all, u.Worker) {
			all = append(all, u.Worker)
		}
	}
	return all
}

// sides returns the sidecar processes.
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

// Upstream returns the upstream with the given name, or nil if there is none.
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

// Records returns the records that all workers have written to their ledgers so far.
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

// Stop stops all running processes with SIGTERM in the order entries, sidecars,
// workers, platform. It fails if any exits with a code other than 0.
func (f *Fleet) Stop(ctx context.Context) error {
	platform := []*Process{f.Objects, f.Hosts}
	var failures []error
	for _, layer := range [][]*Process{f.entries(), f.sides(), f.workers(), platform} {
		failures = append(failures, terminateAll(ctx, layer))
	}
	f.Kill()
	return errors.Join(failures...)
}

// terminateAll stops those of the processes that are running, concurrently.
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
	_ = group.Wait() // the functions return nil; their errors are in failures
	return errors.Join(failures...)
}

// Kill ends all processes with SIGKILL and closes the relays. It keeps the trial's
// folder.
func (f *Fleet) Kill() {
	for _, process := range append(append(f.systemProcesses(), f.replaced...), f.Objects, f.Hosts) {
		process.Kill()
	}
	for _, relay := range f.relays {
		relay.Close()
	}
	f.ports.Close()
}

// RemoveDir removes the trial's folder if Start created it as a temporary one.
func (f *Fleet) RemoveDir() error {
	if !f.temporary {
		return nil
	}
	return os.RemoveAll(f.Dir)
}
