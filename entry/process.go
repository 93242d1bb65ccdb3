package entry

import (
	"math/rand/v2"
	"os"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/budget"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/memory"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/callers"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/clean"
	"acaciawinch/entry/limit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/place"
	"acaciawinch/entry/route"
	"acaciawinch/entry/trace"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/observe/lifecycle"
	"acaciawinch/platform/hosts"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// metricsPrefix is the prefix of the entry's metric names.
const metricsPrefix = "acaciawinch_entry"

// process holds the components of one entry process.
type process struct {
	settings    Settings
	incarnation core.Incarnation
	started     time.Time
	lifecycle   *lifecycle.Lifecycle
	logger      *observe.Logger
	metrics     *observe.Metrics
	dialer      *link.Dialer
	rpc         *link.Server
	feed        *feed.Feed
	router      *route.Router
	keeper      *claims.Keeper
	sweeper     *claims.Sweeper
	cleaner     *clean.Cleaner
	proposer    *place.Proposer
	runner      *pipeline.Runner
	gate        *admit.Gate
	limiter     *limit.Limiter
	traces      *trace.Ring
	finder      *finder
	memory      *memory.Budget
}

// newProcess creates the components and connects them. It starts none of them.
func newProcess(settings Settings) (*process, error) {
	logger, err := observe.NewLogger(os.Stderr, settings.Process.Name, settings.Process.LogLevel)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "entry.log", "", err)
	}
	p := &process{
		settings:    settings,
		incarnation: core.Incarnation(rand.Uint64()),
		started:     time.Now(),
		lifecycle:   lifecycle.New(settings.Process.Name),
		logger:      logger,
		metrics:     observe.NewMetrics(metricsPrefix),
		dialer:      link.NewDialer(settings.Fleet.Key),
		rpc:         link.NewServer(settings.Fleet.Key),
		gate:        admit.NewGate(admit.Limits{InFlight: settings.Limits.InFlight, Streams: settings.Limits.Streams}),
		traces:      trace.NewRing(settings.Limits.Traces),
		memory:      memory.New(memory.BudgetBytes(settings.Process.MemoryMB)),
	}
	p.dialer.UseMemory(p.memory)
	p.rpc.UseMemory(p.memory)
	store := objects.NewClient(settings.Platform.Objects)
	store.OnUnreadable(p.logUnreadable("objects"))
	p.addFeed(store)
	p.addRouter()
	p.addClaims(store)
	p.addCleaner(store)
	p.addPlacement(store)
	p.addLimiter()
	p.addRunner()
	p.finder = &finder{
		name:   settings.Process.Name,
		state:  p.fleetView,
		traces: p.traces,
		dialer: p.dialer,
		claims: p.keeper,
	}
	p.rpc.OnRefused(p.logRefused)
	if err := wirepb.DRPCRegisterEntry(p.rpc.Mux(), &fleetServer{Limiter: p.limiter, feed: p.feed, traces: p.traces}); err != nil {
		return nil, fault.Wrap(fault.Internal, "entry.register", "", err)
	}
	return p, nil
}

// addFeed adds the feed, which keeps this process's copy of the fleet's state.
func (p *process) addFeed(store objects.API) {
	p.feed = feed.New(feed.Options{
		Name:          p.settings.Process.Name,
		Zone:          p.settings.Process.Zone,
		Region:        p.settings.Process.Region,
		Role:          fleet.RoleEntry,
		RelaysPerZone: p.settings.Feed.RelaysPerZone,
		Objects:       store,
		Hosts:         p.hostList(),
		Dialer:        p.dialer,
		Logger:        p.logger,
		Metrics:       p.metrics.Scope(),
		Seed:          rand.Uint64(),
	})
}

// addRouter adds the router, which chooses upstreams.
func (p *process) addRouter() {
	p.router = route.New(route.Options{
		Zone:         p.settings.Process.Zone,
		Region:       p.settings.Process.Region,
		Fleet:        p.fleetState,
		Revision:     p.revision,
		NoteRevision: p.feed.NoteRevision,
		Prober:       route.NewProber(p.dialer),
		Logger:       p.logger,
		Scope:        p.metrics.Scope(),
		Settings:     p.settings.Routing.route(),
		Seed:         rand.Uint64(),
	})
}

// addClaims adds the keeper of claims and the sweeper, which deletes expired ones.
func (p *process) addClaims(store objects.API) {
	p.keeper = claims.New(claims.Options{
		Objects:  store,
		Resolver: claims.SideResolver{Dialer: p.dialer},
		Log:      p.logger,
		Scope:    p.metrics.Scope(),
	})
	p.sweeper = claims.NewSweeper(claims.SweeperOptions{
		Self:    p.settings.Process.Name,
		Objects: store,
		Log:     p.logger,
		Hosts:   p.hosts,
	})
}

// addCleaner adds the cleaner, which deletes old configuration objects.
func (p *process) addCleaner(store objects.API) {
	p.cleaner = clean.New(clean.Options{
		Self:     p.settings.Process.Name,
		Objects:  store,
		Log:      p.logger,
		Scope:    p.metrics.Scope(),
		Settings: p.settings.Retention,
		Hosts:    p.hosts,
	})
}

// addPlacement adds the proposer, which plans the placement of models while this entry
// holds the lease.
func (p *process) addPlacement(store objects.API) {
	p.proposer = place.New(place.Options{
		Self:     p.settings.Process.Name,
		Objects:  store,
		Prober:   route.NewProber(p.dialer),
		Log:      p.logger,
		Scope:    p.metrics.Scope(),
		Facts:    func() (place.Facts, bool) { return place.FactsOf(p.feed.State()) },
		Changed:  p.feed.Changed,
		Settings: p.settings.Placement,
	})
}

// addLimiter adds the limiter, which enforces the limits of workspaces over the whole
// fleet.
func (p *process) addLimiter() {
	p.limiter = limit.New(limit.Options{
		Self:        p.settings.Process.Name,
		Region:      p.settings.Process.Region,
		Incarnation: p.incarnation,
		Hosts:       p.hostsAndVersion,
		Dialer:      p.dialer,
		Log:         p.logger,
		Scope:       p.metrics.Scope(),
	})
}

// addRunner adds the runner, which runs the stages of requests.
func (p *process) addRunner() {
	p.runner = pipeline.NewRunner(pipeline.Options{
		Router:       p.router,
		Claims:       p.keeper,
		Dialer:       p.dialer,
		Record:       pipeline.Recorder{Logger: p.logger, Traces: p.traces, Scope: p.metrics.Scope()},
		Revision:     p.revision,
		NoteRevision: p.feed.NoteRevision,
		Retry:        budgetLimits(budget.DefaultRetry, p.settings.Routing.RetryPercent),
		Hedge:        budgetLimits(budget.DefaultHedge, p.settings.Routing.HedgePercent),
	})
}

// hosts returns the host list, nil until a state is known.
func (p *process) hosts() []fleet.Host {
	state := p.feed.State()
	if state == nil {
		return nil
	}
	return state.Hosts()
}

// hostsAndVersion returns the host list and its version, nil and 0 until a state is
// known.
func (p *process) hostsAndVersion() ([]fleet.Host, uint64) {
	state := p.feed.State()
	if state == nil {
		return nil, 0
	}
	return state.Hosts(), state.HostsVersion()
}

// budgetLimits returns limits with the ratio set to percent. Zero percent allows no
// retries or hedges at all.
func budgetLimits(limits budget.Limits, percent float64) budget.Limits {
	if percent == 0 {
		return budget.Limits{}
	}
	limits.Ratio = percent / 100
	return limits
}

// fleetState returns the state for the router, nil until one is known.
func (p *process) fleetState() route.Fleet {
	state := p.feed.State()
	if state == nil {
		return nil
	}
	return state
}

// fleetView returns the state for lookups, nil until one is known.
func (p *process) fleetView() fleetView {
	state := p.feed.State()
	if state == nil {
		return nil
	}
	return state
}

// revision returns the configuration revision in force in this process, 0 until one is
// known.
func (p *process) revision() core.Revision {
	state := p.feed.State()
	if state == nil {
		return 0
	}
	return state.Revision
}

// callersState returns the state and revision for the HTTP API for callers, false until a
// state is known.
func (p *process) callersState() (callers.State, core.Revision, bool) {
	state := p.feed.State()
	if state == nil {
		return nil, 0, false
	}
	return state, state.Revision, true
}

// status returns the process's status for operators.
func (p *process) status() Status {
	status := Status{
		Name:              p.settings.Process.Name,
		Zone:              p.settings.Process.Zone,
		Region:            p.settings.Process.Region,
		Incarnation:       p.incarnation,
		Ready:             p.lifecycle.Ready(),
		Revision:          p.revision(),
		Requests:          p.gate.Counts(),
		Feed:              p.feed.Stats(),
		PlacementLease:    p.proposer.Holding(),
		FleetReadBytes:    p.dialer.Traffic().Read() + p.rpc.Traffic().Read(),
		FleetWrittenBytes: p.dialer.Traffic().Written() + p.rpc.Traffic().Written(),
		UptimeSeconds:     time.Since(p.started).Seconds(),
	}
	if state := p.feed.State(); state != nil {
		status.Hosts = len(state.Hosts())
		_, status.PlacementVersion = state.Placement()
	}
	return status
}

// close releases the process's resources.
func (p *process) close() {
	_ = p.dialer.Close()  // ignored: the process ends
	_ = p.metrics.Close() // as above
}

// hostList returns the client of the host list.
func (p *process) hostList() *hosts.Client {
	client := hosts.NewClient(p.settings.Platform.Hosts)
	client.OnUnreadable(p.logUnreadable("hosts"))
	return client
}

// logUnreadable returns a function that logs an entry of a service which can't be decoded.
func (p *process) logUnreadable(peer string) func(entry string, err error) {
	return func(entry string, err error) {
		p.logger.Warn(event.EntryUnreadable, observe.Fields{"peer": peer, "entry": entry, "error": err.Error()})
	}
}
