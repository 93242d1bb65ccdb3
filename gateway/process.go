package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/flow"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pace"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/relay"
	"acaciawinch/gateway/streamversion"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
	"acaciawinch/platform/store"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// process is a running gateway.
type process struct {
	settings   Settings
	queue      *observe.Queue
	logger     *observe.Logger
	metrics    *observe.Metrics
	view       *view.View
	owner      *pools.Owner
	dispatcher *pools.Dispatcher
	flow       *flow.Server
	guard      *quarantine.Guard
	limits     *ratelimit.Limiter
	versions   *streamversion.Keeper
	paces      *pace.Keeper
	client     *httpconn.Client
	rpc        *link.Server
	relay      *relay.Server
	follower   *relay.Follower
	dialer     *link.Dialer
	memory     *memory.Budget

	reload *reloader

	incarnation string
}

// Run runs a gateway until ctx is cancelled, then drains the requests in flight and
// returns nil. It calls load to reread the settings, and writes log lines to out. It
// returns an error if the gateway could not start or had to stop early.
func Run(ctx context.Context, settings Settings, load func() (Settings, error), out io.Writer) error {
	debug.SetMemoryLimit(memory.RuntimeLimit(settings.Process.MemoryMB))
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p, err := newProcess(runCtx, settings, out)
	if err != nil {
		return err
	}
	p.reload = newReloader(settings, load, p.apply, p.logger)
	defer p.queue.Close()
	ports, err := listen(settings.Listen)
	if err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return err
	}
	p.logger.Event(event.ProcessStarted, observe.Fields{"role": "gateway", "name": settings.Process.Name,
		"zone": settings.Process.Zone, "incarnation": p.incarnation})
	err = p.serve(ctx, runCtx, stop, ports)
	p.logEnd(err)
	return err
}

// newProcess creates the components of the gateway and connects them.
func newProcess(runCtx context.Context, settings Settings, out io.Writer) (*process, error) {
	queue := observe.NewQueue(out)
	logger, err := observe.NewLogger(queue, settings.Process.Name, settings.Log.Level)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "gateway.log", "", err)
	}
	p := &process{settings: settings, queue: queue, logger: logger, incarnation: newIncarnation(), memory: memory.New(memory.BudgetBytes(settings.Process.MemoryMB))}
	p.metrics = observe.NewMetrics("acaciawinch_gateway")
	seen := anomalies{logger: logger, scope: p.metrics.Scope()}
	p.client = httpconn.New(httpconn.Codec{SetID: header.SetID, ReadInfo: readResponseInfo}, seen.ofUpstream)
	p.client.UseMemory(p.memory)
	self := view.Member{
		Name:        settings.Process.Name,
		Address:     settings.Listen.Fleet,
		Incarnation: p.incarnation,
		Zone:        settings.Process.Zone,
		LinkMbps:    int(settings.Process.LinkMbps),
		Cores:       settings.Process.Cores,
	}
	regions, err := settings.Process.regions()
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "gateway.settings", "", err)
	}
	p.guard = quarantine.New(quarantine.Options{
		Name:        settings.Process.Name,
		Incarnation: p.incarnation,
		Store:       func() *store.Client { return p.view.Store() },
		Era:         func() int64 { return p.view.Era() },
		Listens:     p.client.Listens,
		Leaves:      func(upstream routes.Upstream) bool { return p.view.Leaves(upstream) },
		Lifetime:    runCtx,
		Logger:      logger,
		Scope:       p.metrics.Scope(),
	})
	p.view = view.New(view.Options{
		Logger:  logger,
		Self:    self,
		Store:   settings.storeOptions(),
		Regions: regions,
		Records: []view.Records{{Kind: quarantine.RecordKind, Receiver: p.guard}},

		StoreOverLimit: seen.ofStore,
		Memory:         p.memory,
	})
	p.rpc = link.NewServer(settings.Fleet.Key)
	p.dialer = link.NewDialer(settings.Fleet.Key)
	p.rpc.UseMemory(p.memory)
	p.dialer.UseMemory(p.memory)
	p.rpc.OnOverLimit(seen.ofGateway)
	p.dialer.OnOverLimit(seen.ofGateway)
	p.limits = ratelimit.New(ratelimit.Options{Fleet: p.view, Self: self, Dialer: p.dialer, Lifetime: runCtx, Logger: logger, Scope: p.metrics.Scope()})
	if err := wirepb.DRPCRegisterRateLimit(p.rpc.Mux(), ratelimit.NewServer(p.limits)); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.versions = streamversion.New(streamversion.Options{Fleet: p.view, Self: self, Dialer: p.dialer, Lifetime: runCtx, Logger: logger, Scope: p.metrics.Scope()})
	if err := wirepb.DRPCRegisterStreamVersion(p.rpc.Mux(), streamversion.NewServer(p.versions)); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	if settings.Load.EnginePace != ModeOff {
		p.paces = pace.New(pace.Options{Fleet: p.view, Self: self, Dialer: p.dialer, Logger: logger, Scope: p.metrics.Scope()})
	}
	if err := wirepb.DRPCRegisterEnginePace(p.rpc.Mux(), pace.NewServer(p.paces)); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.owner = pools.NewOwner(runCtx, p.view, p.client, p.limits, logger)
	p.owner.Observe(p.metrics.Scope())
	p.owner.UseMemory(p.memory)
	if settings.Fleet.FirstStart {
		p.owner.StartsFirst()
	}
	returnPlaces := settings.Load.ReturnPlaces == ModeAuto
	if returnPlaces {
		p.owner.KeepPlaces(p.metrics.Scope())
	}
	lateWork := settings.Load.LateWork == ModeAuto
	if lateWork {
		p.owner.KeepLateWork(p.metrics.Scope())
	}
	if err := wirepb.DRPCRegisterPool(p.rpc.Mux(), pools.NewServer(p.owner)); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.relay = relay.NewServer(p.view, logger, p.metrics.Scope())
	if err := wirepb.DRPCRegisterFleet(p.rpc.Mux(), p.relay); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.follower = relay.NewFollower(relay.Options{View: p.view, Self: self, Dialer: p.dialer, Logger: logger, Scope: p.metrics.Scope(), FirstStart: settings.Fleet.FirstStart, Memory: p.memory})
	p.dispatcher = pools.NewDispatcher(runCtx, p.view, self, p.owner, p.dialer, logger)
	p.flow = flow.New(flow.Options{
		View:       p.view,
		Dispatcher: p.dispatcher,
		Client:     p.client,
		Guard:      p.guard,
		Limits:     p.limits,
		Versions:   p.versions,
		Paces:      p.paces,
		Logger:     logger,
		Metrics:    flow.NewMetrics(p.metrics.Scope()),
		Zone:       settings.Process.Zone,
		Retries:    settings.retries(),
		Name:       settings.Process.Name,

		ColdOverrun: settings.Bounds.ColdOverrun,
		ColdSlack:   settings.Bounds.ColdSlack,
		LateWork:    lateWork,
		Memory:      p.memory,

		RepeatSilent: settings.Load.RepeatSilent != ModeOff,
		ReturnPlaces: returnPlaces,
	})
	p.view.OnChange(p.limits.FleetChanged)
	p.view.OnChange(p.versions.FleetChanged)
	p.view.OnChange(p.owner.Refresh)
	p.view.OnChange(p.flow.FleetChanged)
	p.view.OnChange(p.follower.Wake)
	p.view.OnEra(p.guard.StoreReturned)
	p.view.OnEra(p.versions.StoreReturned)
	return p, nil
}

// apply applies those changed settings that need no restart.
func (p *process) apply(settings Settings) {
	p.view.SetStoreOptions(settings.storeOptions())
	p.flow.SetRetries(settings.retries())
}

// readResponseInfo extracts from the head of an upstream's response what package httpconn needs.
func readResponseInfo(status int, h http.Header) httpconn.ResponseInfo {
	response := header.ReadResponse(status, h)
	return httpconn.ResponseInfo{ID: response.ID, NotRun: response.NotRun, Idle: response.Idle}
}

// newIncarnation returns a random ID for this run of the process.
func newIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(random[:])
}

// listeners are the listening sockets of the process.
type listeners struct {
	clients, readiness, fleet, metrics net.Listener
}

// clientKeepAlive detects clients that disappeared without closing their connection.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: 2 * time.Second, Count: 2}

// listen opens the listening sockets.
func listen(addresses ListenSettings) (listeners, error) {
	var ports listeners
	config := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	for _, port := range []struct {
		address string
		target  *net.Listener
	}{{addresses.Clients, &ports.clients}, {addresses.Readiness, &ports.readiness}, {addresses.Fleet, &ports.fleet}, {addresses.Metrics, &ports.metrics}} {
		listener, err := config.Listen(context.Background(), "tcp", port.address)
		if err != nil {
			return listeners{}, fault.Wrap(fault.Unavailable, "gateway.listen", port.address, err)
		}
		*port.target = listener
	}
	return ports, nil
}

// serve runs all components. When ctx is cancelled, it drains the process and stops them.
func (p *process) serve(ctx, runCtx context.Context, stop context.CancelFunc, ports listeners) error {
	servers := newServers(p, ports)
	group, runCtx := errgroup.WithContext(runCtx)
	for _, loop := range []func(context.Context) error{p.follower.Run, p.view.Register, p.owner.Run, p.dispatcher.Run, p.flow.Sweep, p.guard.Run, p.guard.Sweep, p.limits.Run, p.versions.Run, p.paces.Run, p.reportDropped, p.reportMemory, p.reload.run, newZoneWatch(p).run} {
		group.Go(func() error { return loop(runCtx) })
	}
	group.Go(func() error { return p.rpc.Serve(runCtx, ports.fleet) })
	for _, server := range servers.loops() {
		group.Go(server)
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			servers.drain()
		case <-runCtx.Done():
		}
		servers.close()
		return nil
	})
	return group.Wait()
}

// logEnd logs the error that ended the process or, if err is nil, its planned stop.
func (p *process) logEnd(err error) {
	if err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return
	}
	p.logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
}

// memoryReportInterval is the interval at which the memory budget is reported.
const memoryReportInterval = time.Second

// reportMemory updates the metrics of the memory budget, and logs refused reservations, until ctx is cancelled.
func (p *process) reportMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	scope, reported := p.metrics.Scope(), int64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		usage := p.memory.Usage()
		scope.Gauge("memory_reserved_bytes").Update(float64(usage.Used))
		scope.Gauge("memory_reserved_peak_bytes").Update(float64(usage.Peak))
		if usage.Refused > reported {
			scope.Counter("memory_refused").Inc(usage.Refused - reported)
			p.logger.Warn(event.MemoryRefused, observe.Fields{"refused": usage.Refused - reported, "reserved": usage.Used, "peak": usage.Peak, "budget": usage.Total})
			reported = usage.Refused
		}
	}
}

// dropReportInterval is the interval at which dropped log lines are reported.
const dropReportInterval = 5 * time.Second

// reportDropped periodically logs the number of dropped log lines until ctx is cancelled.
func (p *process) reportDropped(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if dropped := p.queue.Dropped(); dropped > reported {
			p.logger.Warn(event.LinesDropped, observe.Fields{"lines": dropped - reported})
			reported = dropped
		}
	}
}
