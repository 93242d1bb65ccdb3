package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/callers"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/route"
	"acaciawinch/entry/trace"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/hosts"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// metricsPrefix begins the names of the entry's metrics.
const metricsPrefix = "acaciawinch_entry"

// Run is the entry process: it serves until ctx ends, then refuses new work,
// finishes what is in flight and returns nil. An error means that it could not
// start or go on.
func Run(ctx context.Context, settings Settings) error {
	p, err := newProcess(settings)
	if err != nil {
		return err
	}
	defer p.close()
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	p.logger.Event(event.ProcessStarted, observe.Fields{
		"role":        string(fleet.RoleEntry),
		"name":        settings.Process.Name,
		"zone":        settings.Process.Zone,
		"incarnation": uint64(p.incarnation),
	})
	err = p.serve(ctx, listeners)
	if err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return err
	}
	p.logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
	return nil
}

// process holds the parts of one entry process.
type process struct {
	settings    Settings
	incarnation core.Incarnation
	started     time.Time
	logger      *observe.Logger
	metrics     *observe.Metrics
	dialer      *link.Dialer
	rpc         *link.Server
	feed        *feed.Feed
	router      *route.Router
	runner      *pipeline.Runner
	gate        *admit.Gate
	traces      *trace.Ring
	finder      *finder
}

// newProcess wires the parts together. It starts nothing.
func newProcess(settings Settings) (*process, error) {
	logger, err := observe.NewLogger(os.Stderr, settings.Process.Name, settings.Process.LogLevel)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "entry.log", "", err)
	}
	p := &process{
		settings:    settings,
		incarnation: core.Incarnation(rand.Uint64()),
		started:     time.Now(),
		logger:      logger,
		metrics:     observe.NewMetrics(metricsPrefix),
		dialer:      link.NewDialer(settings.Fleet.Key),
		rpc:         link.NewServer(settings.Fleet.Key),
		gate:        admit.NewGate(admit.Limits{InFlight: settings.Limits.InFlight, Streams: settings.Limits.Streams}),
		traces:      trace.NewRing(settings.Limits.Traces),
	}
	store := objects.NewClient(settings.Platform.Objects)
	p.feed = feed.New(feed.Options{
		Name:          settings.Process.Name,
		Zone:          settings.Process.Zone,
		Region:        settings.Process.Region,
		Role:          fleet.RoleEntry,
		RelaysPerZone: settings.Feed.RelaysPerZone,
		Objects:       store,
		Hosts:         hosts.NewClient(settings.Platform.Hosts),
		Dialer:        p.dialer,
		Logger:        logger,
		Metrics:       p.metrics.Scope(),
		Seed:          rand.Uint64(),
	})
	p.router = route.New(route.Options{
		Zone:     settings.Process.Zone,
		Region:   settings.Process.Region,
		Fleet:    p.fleetState,
		Revision: p.revision,
		Prober:   route.NewProber(p.dialer),
		Logger:   logger,
		Scope:    p.metrics.Scope(),
		Settings: route.Settings{Policy: settings.Routing.Policy},
		Seed:     rand.Uint64(),
	})
	p.runner = pipeline.NewRunner(p.router, p.dialer)
	p.finder = &finder{name: settings.Process.Name, feed: p.feed, traces: p.traces, dialer: p.dialer}
	if err := wirepb.DRPCRegisterEntry(p.rpc.Mux(), &fleetServer{feed: p.feed, traces: p.traces}); err != nil {
		return nil, fault.Wrap(fault.Internal, "entry.register", "", err)
	}
	return p, nil
}

// fleetState returns the state for the router, nil before the first.
func (p *process) fleetState() route.Fleet {
	state := p.feed.State()
	if state == nil {
		return nil
	}
	return state
}

// revision returns the configuration revision in force here.
func (p *process) revision() core.Revision {
	state := p.feed.State()
	if state == nil {
		return 0
	}
	return state.Revision
}

// callersState returns the state for the admission of requests.
func (p *process) callersState() (callers.State, core.Revision, bool) {
	state := p.feed.State()
	if state == nil {
		return nil, 0, false
	}
	return state, state.Revision, true
}

// ready tells whether the process takes requests.
func (p *process) ready() bool {
	return p.feed.State() != nil && !p.gate.Counts().Draining
}

// status tells operators what the process holds.
func (p *process) status() Status {
	status := Status{
		Name:              p.settings.Process.Name,
		Zone:              p.settings.Process.Zone,
		Region:            p.settings.Process.Region,
		Incarnation:       p.incarnation,
		Ready:             p.ready(),
		Revision:          p.revision(),
		Requests:          p.gate.Counts(),
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

// close frees what the process holds.
func (p *process) close() {
	_ = p.dialer.Close()
	_ = p.metrics.Close()
}

// listeners are the three open ports.
type listeners struct {
	callers net.Listener
	fleet   net.Listener
	admin   net.Listener
}

// listen opens the ports, or none of them.
func listen(settings Settings) (listeners, error) {
	var opened []net.Listener
	for _, addr := range []string{settings.Listen.Callers, settings.Listen.Fleet, settings.Listen.Admin} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return listeners{}, fault.Wrap(fault.Unavailable, "entry.listen", addr, err)
		}
		opened = append(opened, listener)
	}
	return listeners{callers: opened[0], fleet: opened[1], admin: opened[2]}, nil
}

// serve serves until ctx ends and the drain is over.
func (p *process) serve(ctx context.Context, open listeners) error {
	servers := newServers(p, open)
	// The process's own life outlasts ctx by the drain.
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, life := errgroup.WithContext(life)
	group.Go(func() error { return p.rpc.Serve(life, open.fleet) })
	group.Go(func() error { return p.feed.Run(life) })
	group.Go(func() error { return p.router.Run(life) })
	group.Go(servers.serveAdmin)
	group.Go(servers.serveCallers)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
		}
		p.drain()
		servers.shutdown()
		stop()
		return nil
	})
	return ignoreCancelled(group.Wait())
}
