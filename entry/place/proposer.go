package place

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/wirepb"
)

// Timeouts and bounds of a round's calls, and of the delay between rounds.
const (
	probeTimeout        = 500 * time.Millisecond
	maxConcurrentProbes = 16
	storeTimeout        = 2 * time.Second
	releaseTimeout      = 500 * time.Millisecond
	// maxRankedRounds bounds how many rounds longer a process waits because of its rank.
	maxRankedRounds = 12
	jitterPercent   = 20
	// settleDivisor divides the time between rounds to give the delay after a change in
	// which further changes may arrive.
	settleDivisor = 50
)

// Prober probes a sidecar for its load. An error means that there was no response.
type Prober interface {
	Probe(ctx context.Context, addr string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error)
}

// Options configure a Proposer.
type Options struct {
	// Self is the entry's name in the host list.
	Self    string
	Objects objects.API
	Prober  Prober
	Log     *observe.Logger
	// Scope is where metrics are registered; nil drops them.
	Scope tally.Scope
	// Facts returns the current facts, and false while none are known.
	Facts func() (Facts, bool)
	// Changed returns a channel that is closed at the next change of the facts, so that
	// the holder need not wait for its next round. It is optional.
	Changed  func() <-chan struct{}
	Settings Settings
}

// FactsOf returns the facts of a feed's state, and false if the state is nil.
func FactsOf(state *feed.State) (Facts, bool) {
	if state == nil {
		return Facts{}, false
	}
	return Facts{
		Revision: state.Revision,
		Models:   state.Models(),
		Hosts:    state.Hosts(),
		Drained:  state.Drained,
	}, true
}

// Proposer competes for the lease and, while it holds the lease, plans the placement.
// All its state belongs to the goroutine of Run; only Holding may be called by others.
type Proposer struct {
	options Options
	// start is the zero of the process's monotonic clock.
	start time.Time
	// term is a random number in the lease that distinguishes this process from earlier ones
	// of the same name.
	term    uint64
	lease   *placement.Lease
	engines *engines
	metrics *metrics
	// holding is set if the lease was held after the last round. Other goroutines read it.
	holding atomic.Bool
	// loggedShortages are the shortages that were logged, with their reasons.
	loggedShortages map[placement.Assignment]string
}

// New returns a Proposer. It does nothing until Run is called.
func New(opts Options) *Proposer {
	opts.Settings = opts.Settings.orDefault()
	term := rand.Uint64()
	return &Proposer{
		options:         opts,
		start:           time.Now(),
		term:            term,
		lease:           placement.NewLease(opts.Self, term, milliseconds(opts.Settings.LeaseMS)),
		engines:         newEngines(opts.Settings),
		metrics:         newMetrics(opts.Scope),
		loggedShortages: make(map[placement.Assignment]string),
	}
}

// Run makes rounds until ctx ends, then releases the lease if this process holds it. It
// always returns nil.
func (p *Proposer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := p.changed()
		facts, ok := p.options.Facts()
		if ok {
			p.round(ctx, facts)
		}
		p.wait(ctx, ok, changed)
	}
	p.release(context.WithoutCancel(ctx))
	return nil
}

// now returns the time of the process's monotonic clock.
func (p *Proposer) now() time.Duration { return time.Since(p.start) }

// changed returns the channel that is closed at the next change, or nil if the option is
// not set.
func (p *Proposer) changed() <-chan struct{} {
	if p.options.Changed == nil {
		return nil
	}
	return p.options.Changed()
}

// wait waits until the next round. For the holder, a change of the facts ends the wait,
// after a short delay because changes often come together. Until the first facts are
// known, their arrival ends the wait of every process.
func (p *Proposer) wait(ctx context.Context, factsKnown bool, changed <-chan struct{}) {
	if factsKnown && !p.Holding() {
		changed = nil
	}
	timer := time.NewTimer(p.roundDelay())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-changed:
		sleep(ctx, milliseconds(p.options.Settings.RoundMS)/settleDivisor)
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// roundDelay returns the time until the next round if nothing changes. The lower a
// process ranks, the less often it reads a lease that it does not hold, so that a fleet of
// hundreds of entries takes only a few reads per second.
func (p *Proposer) roundDelay() time.Duration {
	delay := milliseconds(p.options.Settings.RoundMS)
	if !p.Holding() {
		delay *= time.Duration(1 + min(p.rank(), maxRankedRounds))
	}
	return delay + delay*time.Duration(rand.IntN(jitterPercent))/100
}

// rank returns how many other entries rank before this one, by a hash of their names.
func (p *Proposer) rank() int {
	facts, ok := p.options.Facts()
	if !ok {
		return 0
	}
	own := rankOf(p.options.Self)
	before := 0
	for _, host := range facts.Hosts {
		if host.Role == fleet.RoleEntry && !host.Leaving && rankOf(host.Name) > own {
			before++
		}
	}
	return before
}

// rankOf returns the hash by which entries are ranked.
func rankOf(name string) uint64 { return xxhash.Sum64String(placement.LeaseKey + "\x00" + name) }

// round makes one round: it reads and renews or takes the lease and, if this process
// holds it, plans.
func (p *Proposer) round(ctx context.Context, facts Facts) {
	round := placement.NewRound(p.lease)
	for ctx.Err() == nil {
		step := round.Next()
		if step.Call == placement.RoundEnd {
			break
		}
		p.call(ctx, round, step, facts)
	}
	p.updateHolding("not renewed in time")
}

// Holding reports whether this process held the lease after its last round. It may be
// called from any goroutine.
func (p *Proposer) Holding() bool { return p.holding.Load() }

// updateHolding updates holding from the lease. It logs that the lease was taken, or lost
// for the given reason.
func (p *Proposer) updateHolding(reason string) {
	holds := p.lease.Holds(p.now())
	heldBefore := p.holding.Swap(holds)
	p.metrics.setHolding(holds)
	switch {
	case holds && !heldBefore:
		p.options.Log.Event(event.PlacementLeaseTaken, observe.Fields{"term": p.term})
	case !holds && heldBefore:
		p.options.Log.Event(event.PlacementLeaseLost, observe.Fields{"term": p.term, "reason": reason})
	}
}

// gather probes the engines' sidecars and passes the input of the plan to the round.
func (p *Proposer) gather(ctx context.Context, round *placement.Round, facts Facts) {
	p.engines.update(facts)
	hosts := p.engines.toProbe(round.CurrentPlan())
	replies := p.probe(ctx, hosts, facts.Revision)
	for i, host := range hosts {
		p.engines.recordReply(p.now(), core.UpstreamID(host.Name), replies[i])
	}
	p.logSilent(hosts)
	p.logStuck(p.engines.recordLoads(p.now(), round.CurrentPlan()))
	p.metrics.assignments.Update(float64(len(round.CurrentPlan().Assignments)))
	p.metrics.unfinished.Update(float64(len(p.engines.unfinishedSince)))
	now := p.now()
	round.Gathered(now, p.engines.input(now, facts, p.options.Self))
}

// probe probes hosts, a bounded number at a time. The reply of a host that did not respond
// is nil.
func (p *Proposer) probe(ctx context.Context, hosts []fleet.Host, revision core.Revision) []*wirepb.ProbeReply {
	p.metrics.probes.Inc(int64(len(hosts)))
	replies := make([]*wirepb.ProbeReply, len(hosts))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i, host := range hosts {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			reply, err := p.options.Prober.Probe(probeCtx, host.Addr, &wirepb.ProbeRequest{Revision: uint64(revision)})
			if err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	_ = group.Wait() // the functions always return nil
	return replies
}
