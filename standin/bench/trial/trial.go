// Package trial runs one case of the bench under one policy with real processes,
// and gathers what was measured.
package trial

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/scene"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/load"
)

// reportLag is how late the stand-in upstreams report their load, and hostLag how
// late the host list is.
const (
	reportLag = 500 * time.Millisecond
	hostLag   = time.Second
)

// patience is how long behind its deadline a caller waits for an answer. An
// answer in that time is late, not missing.
const patience = 2 * time.Second

// Options say what to run.
type Options struct {
	// Bin is the folder of the binaries; Examples that of the configurations.
	Bin      string
	Examples string
	Size     scene.Size
	Case     scene.Case
	Policy   scene.Policy
	// Seed fixes the arrivals, which are the same for every policy.
	Seed uint64
	// Keep leaves the folder with settings, logs and ledgers.
	Keep bool
}

// run is a trial in progress.
type run struct {
	options  Options
	fleet    *harness.Fleet
	client   *caller.Client
	capacity float64
	duration time.Duration
	before   snapshot
	after    snapshot
	records  []load.Record
	ledger   []ledger.Record
}

// Run carries out a trial: it starts the processes, offers the load, lets the
// fault happen, and ends the processes. Dir is the trial's folder, if it is kept.
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
	result = r.report()
	if o.Keep {
		return result, fleet.Dir, nil
	}
	fleet.Kill()
	return result, "", fleet.RemoveDir()
}

// measure offers the load between two readings of what the processes spend, and
// then reads the ledgers. They are read before a frozen process is woken, which
// would record the end of work that was given up long ago.
func (r *run) measure(ctx context.Context) error {
	var err error
	if r.before, err = r.snapshot(ctx); err != nil {
		return err
	}
	if err := r.offer(ctx); err != nil {
		return err
	}
	if r.after, err = r.snapshot(ctx); err != nil {
		return err
	}
	r.awaitIdle(ctx)
	r.ledger, err = r.fleet.Records()
	return err
}

// offer sends the load, with the fault in its midst.
func (r *run) offer(ctx context.Context) error {
	arrivals := load.Schedule(r.options.Seed, r.duration, r.options.Size.Flows(r.options.Case, r.capacity))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var failure error
	var group sync.WaitGroup
	group.Go(func() { failure = r.fault(ctx) })
	r.records = load.Run(ctx, arrivals, load.Options{
		Client:   r.client,
		Entry:    r.entry,
		Patience: patience,
	})
	cancel()
	group.Wait()
	return failure
}

// entry returns the entry for an arrival: the platform's balancer goes round.
func (r *run) entry(i int) string {
	return r.fleet.Entries[i%len(r.fleet.Entries)].URL
}
