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

// Bounds of a round's calls, and of the pauses between rounds.
const (
	probeTimeout    = 500 * time.Millisecond
	probesAtOnce    = 16
	storeTimeout    = 2 * time.Second
	releaseTimeout  = 500 * time.Millisecond
	maxRankedRounds = 12
	jitterPercent   = 20
	// settleShare is the part of a round's time that a change waits for others.
	settleShare = 50
)

// Prober asks a side for its load. Errors mean that there was no answer.
type Prober interface {
	Probe(ctx context.Context, addr string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error)
}

// Options are the parts of a Proposer.
type Options struct {
	// Self is the entry's name in the host list.
	Self    string
	Objects objects.API
	Prober  Prober
	Log     *observe.Logger
	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
	// Facts returns what the feed knows, or false while it knows nothing.
	Facts func() (Facts, bool)
	// Changed returns a channel that is closed when the facts change next, so that
	// the holder need not wait for its next round; nil if there is none.
	Changed  func() <-chan struct{}
	Settings Settings
}

// FactsOf returns the facts of a feed's state, and false for the nil state.
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

// Proposer takes part in placement. Run is its only goroutine; Holding may be
// called by others.
type Proposer struct {
	options Options
	start   time.Time
	term    uint64
	lease   *placement.Lease
	engines *engines
	metrics *metrics
	// holding is what the last round found; other goroutines read it.
	holding atomic.Bool
	// short are the shortages that the log has reported, with their reasons.
	short map[placement.Assignment]string
}

// New returns a Proposer that does nothing until Run.
func New(opts Options) *Proposer {
	opts.Settings = opts.Settings.orDefault()
	term := rand.Uint64()
	return &Proposer{
		options: opts,
		start:   time.Now(),
		term:    term,
		lease:   placement.NewLease(opts.Self, term, milliseconds(opts.Settings.LeaseMS)),
		engines: newEngines(opts.Settings),
		metrics: newMetrics(opts.Scope),
		short:   make(map[placement.Assignment]string),
	}
}

// Run takes part until ctx ends, then gives the lease up if it holds it. It
// returns nil.
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

// now returns the process's own monotonic clock.
func (p *Proposer) now() time.Duration { return time.Since(p.start) }

// changed returns the channel of the next change, nil if there is none.
func (p *Proposer) changed() <-chan struct{} {
	if p.options.Changed == nil {
		return nil
	}
	return p.options.Changed()
}

// wait waits until the next round. The holder also goes on when the facts have
// changed, though not at once, since changes often come together. While nothing
// is known every process waits for the first facts.
func (p *Proposer) wait(ctx context.Context, known bool, changed <-chan struct{}) {
	if known && !p.Holding() {
		changed = nil
	}
	timer := time.NewTimer(p.pause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-changed:
		settle(ctx, milliseconds(p.options.Settings.RoundMS)/settleShare)
	}
}

// settle waits for d, or until ctx ends.
func settle(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pause returns the time until the next round if nothing changes. Who does not
// hold the lease looks at it the less often the farther down it ranks, so that a
// fleet of hundreds of entries spends a few reads a second on it.
func (p *Proposer) pause() time.Duration {
	pause := milliseconds(p.options.Settings.RoundMS)
	if !p.Holding() {
		pause *= time.Duration(1 + min(p.rank(), maxRankedRounds))
	}
	return pause + pause*time.Duration(rand.IntN(jitterPercent))/100
}

// rank returns how many other entries come before this one, by a hash of their
// names.
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

// rankOf is the hash by which entries are ranked.
func rankOf(name string) uint64 { return xxhash.Sum64String(placement.LeaseKey + "\x00" + name) }

// round drives one round and, if this process holds the lease, its duties.
func (p *Proposer) round(ctx context.Context, facts Facts) {
	round := placement.NewRound(p.lease)
	for ctx.Err() == nil {
		step := round.Next()
		if step.Call == placement.RoundEnd {
			break
		}
		p.call(ctx, round, step, facts)
	}
	p.noteLease("not renewed in time")
}

// Holding tells whether this process held the lease after its last round. It may
// be called from any goroutine.
func (p *Proposer) Holding() bool { return p.holding.Load() }

// noteLease logs that the lease was taken, or lost and why.
func (p *Proposer) noteLease(why string) {
	holds := p.lease.Holds(p.now())
	held := p.holding.Swap(holds)
	p.metrics.hold(holds)
	switch {
	case holds && !held:
		p.options.Log.Event(event.PlacementLeaseTaken, observe.Fields{"term": p.term})
	case !holds && held:
		p.options.Log.Event(event.PlacementLeaseLost, observe.Fields{"term": p.term, "reason": why})
	}
}

// gather asks the engines' sides and hands in what the plan follows from.
func (p *Proposer) gather(ctx context.Context, round *placement.Round, facts Facts) {
	p.engines.update(facts)
	hosts := p.engines.toAsk(round.Present())
	replies := p.probe(ctx, hosts, facts.Revision)
	for i, host := range hosts {
		p.engines.note(p.now(), core.UpstreamID(host.Name), replies[i])
	}
	p.logSilent(hosts)
	p.logStuck(p.engines.watchLoads(p.now(), round.Present()))
	p.metrics.assignments.Update(float64(len(round.Present().Assignments)))
	p.metrics.unfinished.Update(float64(len(p.engines.waiting)))
	now := p.now()
	round.Gathered(now, p.engines.input(now, facts, p.options.Self))
}

// probe asks hosts, a few at a time; a missing answer is nil.
func (p *Proposer) probe(ctx context.Context, hosts []fleet.Host, revision core.Revision) []*wirepb.ProbeReply {
	p.metrics.probes.Inc(int64(len(hosts)))
	replies := make([]*wirepb.ProbeReply, len(hosts))
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
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
	_ = group.Wait() // its functions return nil
	return replies
}
