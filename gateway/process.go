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
	"acaciawinch/gateway/flow"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/relay"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
	"acaciawinch/platform/store"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Memory of the runtime.
const (
	// memoryShare is the part of the machine's memory up to which the collector lets
	// the heap grow without working harder; stacks and buffers of the kernel are not
	// counted by it.
	memoryShare = 0.6
)

// process is a running gateway.
type process struct {
	settings Settings
	queue    *observe.Queue
	logger   *observe.Logger
	metrics  *observe.Metrics
	view     *view.View
	owner    *pools.Owner
	asker    *pools.Asker
	flow     *flow.Server
	guard    *quarantine.Guard
	client   *httpconn.Client
	rpc      *link.Server
	relay    *relay.Server
	source   *relay.Follower
	dialer   *link.Dialer

	reload *reloader

	incarnation string
}

// Run is the gateway: it serves until ctx ends, then finishes what it has read and
// returns nil. Load reads the settings again when they may have changed; log lines go
// to out. An error means that it could not start or go on.
func Run(ctx context.Context, settings Settings, load func() (Settings, error), out io.Writer) error {
	debug.SetMemoryLimit(int64(float64(settings.Process.MemoryMB) * memoryShare * (1 << 20)))
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p, err := newProcess(life, settings, out)
	if err != nil {
		return err
	}
	p.reload = newReloader(settings, load, p.apply, p.logger)
	defer p.queue.Close()
	open, err := listen(settings.Listen)
	if err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return err
	}
	p.logger.Event(event.ProcessStarted, observe.Fields{"role": "gateway", "name": settings.Process.Name,
		"zone": settings.Process.Zone, "incarnation": p.incarnation})
	err = p.serve(ctx, life, stop, open)
	p.noteEnd(err)
	return err
}

// newProcess wires the parts.
func newProcess(life context.Context, settings Settings, out io.Writer) (*process, error) {
	queue := observe.NewQueue(out)
	logger, err := observe.NewLogger(queue, settings.Process.Name, settings.Log.Level)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "gateway.log", "", err)
	}
	p := &process{settings: settings, queue: queue, logger: logger, incarnation: newIncarnation()}
	p.metrics = observe.NewMetrics("acaciawinch_gateway")
	p.client = httpconn.New(readEcho)
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
		Listens:     p.client.Listens,
		Life:        life,
		Logger:      logger,
		Scope:       p.metrics.Scope(),
	})
	p.view = view.New(view.Options{
		Logger:  logger,
		Self:    self,
		Source:  settings.source(),
		Regions: regions,
		Records: []view.Records{{Kind: quarantine.RecordKind, To: p.guard}},
	})
	p.owner = pools.NewOwner(life, p.view, p.client, logger)
	p.rpc = link.NewServer(settings.Fleet.Key)
	p.dialer = link.NewDialer(settings.Fleet.Key)
	if err := wirepb.DRPCRegisterPool(p.rpc.Mux(), pools.NewServer(p.owner)); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.relay = relay.NewServer(p.view, logger, p.metrics.Scope())
	if err := wirepb.DRPCRegisterFleet(p.rpc.Mux(), p.relay); err != nil {
		return nil, fault.Wrap(fault.Internal, "gateway.register", "", err)
	}
	p.source = relay.NewFollower(relay.Options{View: p.view, Self: self, Dialer: p.dialer, Logger: logger, Scope: p.metrics.Scope(), FirstStart: settings.Fleet.FirstStart})
	p.asker = pools.NewAsker(life, p.view, self, p.owner, p.dialer, logger)
	p.flow = flow.New(flow.Options{
		View:    p.view,
		Asker:   p.asker,
		Client:  p.client,
		Guard:   p.guard,
		Logger:  logger,
		Metrics: flow.NewMetrics(p.metrics.Scope()),
		Zone:    settings.Process.Zone,
		Retries: settings.retries(),
		Name:    settings.Process.Name,

		ColdOverrun: settings.Bounds.ColdOverrun,
		ColdSlack:   settings.Bounds.ColdSlack,
	})
	p.view.OnChange(p.owner.Refresh)
	p.view.OnChange(p.flow.Forget)
	p.view.OnChange(p.source.Wake)
	return p, nil
}

// apply takes over those of changed settings that need no new start.
func (p *process) apply(settings Settings) {
	p.view.SetSource(settings.source())
	p.flow.SetRetries(settings.retries())
}

// readEcho reads the head of an upstream's answer for the connections.
func readEcho(status int, h http.Header) httpconn.Echo {
	said := header.ReadAnswer(status, h)
	return httpconn.Echo{ID: said.ID, NotRun: said.NotRun, Idle: said.Idle}
}

// newIncarnation returns a name for this start of the process.
func newIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
}

// listeners are the open ports.
type listeners struct {
	clients, readiness, fleet, metrics net.Listener
}

// clientProbes find clients that are gone without a word.
var clientProbes = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: 2 * time.Second, Count: 2}

// listen opens the ports.
func listen(at ListenSettings) (listeners, error) {
	var open listeners
	config := net.ListenConfig{KeepAliveConfig: clientProbes}
	for _, one := range []struct {
		address string
		to      *net.Listener
	}{{at.Clients, &open.clients}, {at.Readiness, &open.readiness}, {at.Fleet, &open.fleet}, {at.Metrics, &open.metrics}} {
		listener, err := config.Listen(context.Background(), "tcp", one.address)
		if err != nil {
			return listeners{}, fault.Wrap(fault.Unavailable, "gateway.listen", one.address, err)
		}
		*one.to = listener
	}
	return open, nil
}

// serve runs all parts until the drain that follows the end of ctx is over.
func (p *process) serve(ctx, life context.Context, stop context.CancelFunc, open listeners) error {
	servers := newServers(p, open)
	group, life := errgroup.WithContext(life)
	for _, part := range []func(context.Context) error{p.source.Run, p.view.Register, p.owner.Run, p.asker.Run, p.flow.Sweep, p.guard.Run, p.guard.Sweep, p.reportDropped, p.reload.run, newZoneWatch(p).run} {
		group.Go(func() error { return part(life) })
	}
	group.Go(func() error { return p.rpc.Serve(life, open.fleet) })
	for _, server := range servers.all() {
		group.Go(server)
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			servers.drain()
		case <-life.Done():
		}
		servers.close()
		return nil
	})
	return group.Wait()
}

// noteEnd logs the end of the process.
func (p *process) noteEnd(err error) {
	if err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return
	}
	p.logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
}

// reportEvery is how often dropped log lines are reported.
const reportEvery = 5 * time.Second

// reportDropped logs how many log lines were dropped, until ctx ends.
func (p *process) reportDropped(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
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
