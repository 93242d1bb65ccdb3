// Package trial runs one case of the bench under one policy with real processes and
// collects the measurements.
package trial

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/scenario"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/load"
)

// reportLag is the delay of the load reports of the stand-in upstreams, and hostLag
// the delay of the host list.
const (
	reportLag = 500 * time.Millisecond
	hostLag   = time.Second
)

// gracePeriod is how long a caller waits for a response after the deadline. A response
// within that time counts as late, not as missing.
const gracePeriod = 2 * time.Second

// Options configure a trial.
type Options struct {
	// Bin is the directory of the binaries; Examples that of the configurations.
	Bin      string
	Examples string
	Size     scenario.Size
	Case     scenario.Case
	Policy   scenario.Policy
	// Seed determines the arrivals, which are the same for every policy.
	Seed uint64
	// Keep preserves the directory of settings, logs and ledgers.
	Keep bool
}

// run is a trial in progress.
type run struct {
	options  Options
	fleet    *harness.Fleet
	client   *caller.Client
	capacity float64
	duration time.Duration
	// before and after are taken around the load.
	before  snapshot
	after   snapshot
	records []load.Record
	ledger  []ledger.Record
}

// Run runs a trial: it starts the processes, offers the load, injects the fault and
// kills the processes. The returned dir is the directory of the trial if it was kept
// or the measurement failed, and empty otherwise.
func Run(ctx context.Context, o Options) (result report.Trial, dir string, err error) {
	files := o.Size.Files(o.Examples)
	configuration, err := catalog.Load(files...)
	if err != nil {
		return report.Trial{}, "", err
	}
	fleet, err := harness.Start(ctx, harness.Options{
		Deployment:    o.Size.Deployment,
		Bin:           o.Bin,
		Configuration: files,
		HostLag:       hostLag,
		ReportLag:     reportLag,
		EntrySettings: o.Policy.Entry,
		SideSettings:  o.Policy.Side,
	})
	if err != nil {
		return report.Trial{}, "", err
	}
	defer fleet.Kill()
	r := &run{
		options:  o,
		fleet:    fleet,
		client:   caller.New(configuration),
		capacity: o.Size.Capacity(configuration),
		duration: o.Case.Duration,
	}
	defer r.client.Close()
	if err := r.measure(ctx); err != nil {
		return report.Trial{}, fleet.Dir, err
	}
	result = r.results()
	if o.Keep {
		return result, fleet.Dir, nil
	}
	fleet.Kill()
	return result, "", fleet.RemoveDir()
}

// measure offers the load between two snapshots of the processes' usage, and then
// reads the ledgers. It reads them before a frozen process is resumed, because that
// process would then record the end of work that was abandoned long before.
func (r *run) measure(ctx context.Context) error {
	var err error
	if r.before, err = r.takeSnapshot(ctx); err != nil {
		return err
	}
	if err := r.offerLoad(ctx); err != nil {
		return err
	}
	if r.after, err = r.takeSnapshot(ctx); err != nil {
		return err
	}
	r.awaitIdle(ctx)
	r.ledger, err = r.fleet.Records()
	return err
}

// offerLoad offers the load and injects the fault while the load runs.
func (r *run) offerLoad(ctx context.Context) error {
	arrivals := load.Schedule(r.options.Seed, r.duration, r.options.Size.Flows(r.options.Case, r.capacity))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faultErr error
	var group sync.WaitGroup
	group.Go(func() { faultErr = r.injectFault(ctx) })
	r.records = load.Run(ctx, arrivals, load.Options{
		Client:      r.client,
		Entry:       r.entryURL,
		GracePeriod: gracePeriod,
	})
	cancel()
	group.Wait()
	return faultErr
}

// entryURL returns the URL of the entry for arrival i. The entries are used in turn,
// as by the platform's load balancer.
func (r *run) entryURL(i int) string {
	return r.fleet.Entries[i%len(r.fleet.Entries)].URL
}
