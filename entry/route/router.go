package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/latency"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"

	"github.com/uber-go/tally/v4"
)

// probeTimeout bounds each probe, connecting included.
const probeTimeout = 25 * time.Millisecond

// probesPerChoice is how many upstreams are asked for one decision.
const probesPerChoice = 2

// Fleet is the state of the fleet that routing reads. *feed.State satisfies it.
type Fleet interface {
	Hosts() []fleet.Host
	Drained(upstream string) bool
	Placement() (placement.Plan, uint64)
}

// Options are what a Router needs.
type Options struct {
	// Zone and Region are the entry's own.
	Zone, Region string
	// Fleet returns the present state, nil before the first is known.
	Fleet func() Fleet
	// Revision returns the configuration revision that probes carry.
	Revision func() core.Revision
	Prober   Prober
	Logger   *observe.Logger
	Scope    tally.Scope
	Settings Settings
	// Seed starts the random source.
	Seed uint64
}

// Router chooses upstreams. It may be used by many goroutines.
type Router struct {
	opts Options

	mu        sync.Mutex
	random    *rand.Rand
	latencies *latency.Table
	services  map[core.UpstreamID]string
}

// New returns a Router.
func New(opts Options) *Router {
	return &Router{
		opts:      opts,
		random:    rand.New(rand.NewPCG(opts.Seed, 0)),
		latencies: latency.NewTable(),
		services:  make(map[core.UpstreamID]string),
	}
}

// Run probes suspected upstreams in the background until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// answer is what one probed host said; reply is nil if it did not.
type answer struct {
	host  fleet.Host
	reply *wirepb.ProbeReply
}

// Choose returns the upstream that is expected to finish first among a few that
// are probed now. Errors: code Refused if none can carry out the stage in time
// (see RetryAfter), Cancelled if ctx ended.
func (r *Router) Choose(ctx context.Context, need Need) (Choice, error) {
	hosts := r.sample(need)
	answers := make([]answer, len(hosts))
	var group errgroup.Group
	for i, host := range hosts {
		group.Go(func() error {
			answers[i] = r.probe(ctx, host, need)
			return nil
		})
	}
	_ = group.Wait()
	return r.decide(need, answers)
}

// sample draws the hosts to probe.
func (r *Router) sample(need Need) []fleet.Host {
	state := r.opts.Fleet()
	if state == nil {
		return nil
	}
	var hosts []fleet.Host
	for _, host := range state.Hosts() {
		usable := host.Role == fleet.RoleUpstream && host.Service == need.Service &&
			!host.Leaving && !state.Drained(host.Name) &&
			!slices.Contains(need.Exclude, core.UpstreamID(host.Name))
		if usable {
			hosts = append(hosts, host)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), probesPerChoice)]
}

// probe asks one host and keeps its load.
func (r *Router) probe(ctx context.Context, host fleet.Host, need Need) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &wirepb.ProbeRequest{PrefixHash: need.PrefixHash}
	if r.opts.Revision != nil {
		request.Revision = uint64(r.opts.Revision())
	}
	reply, err := r.opts.Prober.Probe(ctx, host.Addr, request)
	if err != nil {
		return answer{host: host}
	}
	r.observe(core.UpstreamID(host.Name), host.Service, reply.GetLoad())
	return answer{host: host, reply: reply}
}

// decide picks the lowest expected completion.
func (r *Router) decide(need Need, answers []answer) (Choice, error) {
	var best Choice
	var alternatives []Alternative
	for _, a := range answers {
		option := Choice{Upstream: core.UpstreamID(a.host.Name), Addr: a.host.Addr, Zone: a.host.Zone}
		switch {
		case a.reply == nil:
			alternatives = append(alternatives, Alternative{Upstream: option.Upstream, Zone: option.Zone, Reason: "no answer"})
			continue
		case a.reply.GetLoad().GetDraining() || a.reply.GetLoad().GetStalled():
			alternatives = append(alternatives, Alternative{Upstream: option.Upstream, Zone: option.Zone, Reason: "draining or stalled"})
			continue
		}
		load := a.reply.GetLoad()
		option.Incarnation = core.Incarnation(a.reply.GetIncarnation())
		option.SideClockUS = a.reply.GetSideClockUs()
		option.PrefixCached = a.reply.GetPrefixCached()
		option.Expected = microseconds(load.GetWaitUs() + load.GetServiceP50Us())
		option.Reason = "lowest expected completion"
		if best.Upstream == "" || option.Expected < best.Expected {
			best, option = option, best
		}
		if option.Upstream != "" {
			alternatives = append(alternatives, Alternative{Upstream: option.Upstream, Zone: option.Zone, Expected: option.Expected, Reason: "slower"})
		}
	}
	if best.Upstream == "" {
		return Choice{}, refuse(need.Service, time.Second, "no upstream of the service answers")
	}
	best.Alternatives = alternatives
	r.opts.Logger.Event(event.RouteChosen, observe.Fields{
		"request": need.Request, "stage": need.Stage, "service": need.Service,
		"upstream": best.Upstream, "zone": best.Zone, "expected_us": best.Expected.Microseconds(),
		"policy": "probe2", "reason": best.Reason, "alternatives": alternatives,
	})
	return best, nil
}

// ObserveLoad keeps a load that came with an answer of a side.
func (r *Router) ObserveLoad(upstream core.UpstreamID, load *wirepb.Load) {
	r.mu.Lock()
	service := r.services[upstream]
	r.mu.Unlock()
	r.observe(upstream, service, load)
}

// ObserveResult keeps how an attempt ended.
func (r *Router) ObserveResult(Result) {}

// Estimate returns what is expected of a service, from what its sides report.
func (r *Router) Estimate(service string) latency.Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencies.Estimate(service, time.Now())
}

// observe stores a reported load.
func (r *Router) observe(upstream core.UpstreamID, service string, load *wirepb.Load) {
	if load == nil || service == "" {
		return
	}
	report := latency.Report{
		Estimate: latency.Estimate{
			Wait:       microseconds(load.GetWaitUs()),
			ServiceP50: microseconds(load.GetServiceP50Us()),
			ServiceP95: microseconds(load.GetServiceP95Us()),
			FirstP50:   microseconds(load.GetFirstP50Us()),
			FirstP95:   microseconds(load.GetFirstP95Us()),
			GapP95:     microseconds(load.GetGapP95Us()),
		},
		Finished: load.GetFinished(),
		At:       time.Now(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[upstream] = service
	r.latencies.Observe(service, upstream, report)
}

// microseconds converts a reported duration.
func microseconds(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }
