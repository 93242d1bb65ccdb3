package side

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/gate"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/observe/lifecycle"
	"acaciawinch/platform/hosts"
	"acaciawinch/platform/objects"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// metricsPrefix begins the names of the side's metrics.
const metricsPrefix = "acaciawinch_side"

// Times of the process.
const (
	adminHeaderTimeout = 5 * time.Second
	// stopCheck is how often a planned stop looks whether it is over.
	stopCheck  = 20 * time.Millisecond
	stopLinger = 100 * time.Millisecond
)

// process holds the parts of one side process.
type process struct {
	settings    Settings
	incarnation core.Incarnation
	life        *lifecycle.Lifecycle
	logger      *observe.Logger
	metrics     *observe.Metrics
	dialer      *link.Dialer
	rpc         *link.Server
	feed        *feed.Feed
	keeper      *keeper
	meter       *meter
	// linger is how long the last answers have to leave before the connections
	// close.
	linger time.Duration
	// orders is nil unless the upstream is an engine.
	orders *orders
	// objects is the client of the object API.
	objects *objects.Client
}

// newProcess wires the parts together. It starts nothing.
func newProcess(settings Settings) (*process, error) {
	logger, err := observe.NewLogger(os.Stderr, settings.Process.Name, settings.Process.LogLevel)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "side.log", "", err)
	}
	p := &process{
		settings:    settings,
		incarnation: core.Incarnation(rand.Uint64()),
		life:        lifecycle.New(settings.Process.Name),
		linger:      stopLinger,
		logger:      logger,
		metrics:     observe.NewMetrics(metricsPrefix),
		dialer:      link.NewDialer(settings.Fleet.Key),
		rpc:         link.NewServer(settings.Fleet.Key),
		objects:     objects.NewClient(settings.Platform.Objects),
	}
	p.feed = p.newFeed()
	p.keeper = newKeeper(p.keeperOptions())
	p.meter = newMeter(p.metrics.Scope(), p.keeper, p.rpc.Traffic())
	if settings.Upstream.Kind == config.KindEngine {
		p.orders = newOrders(p.keeper)
	}
	p.rpc.OnRefused(p.logRefused)
	if err := wirepb.DRPCRegisterSide(p.rpc.Mux(), p.newServer()); err != nil {
		return nil, fault.Wrap(fault.Internal, "side.register", "", err)
	}
	return p, nil
}

// newFeed returns the process's copy of the fleet's state.
func (p *process) newFeed() *feed.Feed {
	return feed.New(feed.Options{
		Name:    p.settings.Process.Name,
		Zone:    p.settings.Process.Zone,
		Region:  p.settings.Process.Region,
		Role:    fleet.RoleUpstream,
		Objects: p.objects,
		Hosts:   hosts.NewClient(p.settings.Platform.Hosts),
		Dialer:  p.dialer,
		Logger:  p.logger,
		Metrics: p.metrics.Scope(),
		Seed:    rand.Uint64(),
	})
}

// keeperOptions returns the options of the keeper by the settings.
func (p *process) keeperOptions() keeperOptions {
	s := p.settings
	started := time.Now()
	return keeperOptions{
		upstream: core.UpstreamID(s.Upstream.Name),
		engine:   s.Upstream.Kind == config.KindEngine,
		gate: gate.Options{
			Upstream:    core.UpstreamID(s.Upstream.Name),
			Incarnation: p.incarnation,
			Capacity:    s.Upstream.Capacity,
			FIFO:        s.Queue.Discipline == DisciplineFIFO,
			MaxQueued:   s.Queue.MaxQueued,
			KeepResult:  time.Duration(s.Results.KeepMS) * time.Millisecond,
			KeepClaimed: time.Duration(s.Results.KeepClaimedMS) * time.Millisecond,
			MaxClaimed:  s.Results.MaxClaimed,
			Grace:       time.Duration(s.Results.GraceMS) * time.Millisecond,
		},
		maxOutputBytes: s.Queue.MaxOutputBytes,
		client:         upstream.NewHTTP(s.Upstream.Name, s.Upstream.URL),
		logger:         p.logger,
		clock:          func() time.Duration { return time.Since(started) },
	}
}

// newServer returns the drpc service.
func (p *process) newServer() *server {
	return &server{
		keeper:        p.keeper,
		incarnation:   p.incarnation,
		maxInputBytes: p.settings.Queue.MaxInputBytes,
		revision:      p.revision,
		noteRevision:  p.noteRevision,
	}
}

// revision returns the configuration revision that the process knows of.
func (p *process) revision() core.Revision {
	if state := p.feed.State(); state != nil {
		return state.Revision
	}
	return 0
}

// noteRevision tells the feed of a newer revision. The sender's own address isn't
// known here; the feed finds an entry to ask by itself.
func (p *process) noteRevision(revision core.Revision) {
	if revision > p.revision() {
		p.feed.NoteRevision(revision, "")
	}
}

// synced notes that it is known whether the upstream answers.
func (p *process) synced() {
	if err := p.life.FireIfAllowed(lifecycle.Synced); err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
	}
}

// admin returns the handler of the admin paths.
func (p *process) admin() http.Handler {
	return newAdmin(adminOptions{
		ready:   p.life.Ready,
		status:  p.status,
		metrics: p.metrics.Handler(),
	})
}

// close ends what outlives the parts.
func (p *process) close() {
	_ = p.dialer.Close()  // the process ends
	_ = p.metrics.Close() // as above
}

// awaitStop waits for the end of ctx and then for the end of the planned stop. It
// returns early if the parts end by themselves.
func (p *process) awaitStop(ctx, parts context.Context) error {
	select {
	case <-ctx.Done():
	case <-parts.Done():
		return nil
	}
	p.keeper.setDrain(gate.DrainStop, true)
	if err := p.life.Fire(lifecycle.Stop); err != nil {
		return err
	}
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.keeper.pending().unsettled})
	end := lifecycle.Expired
	if p.awaitEmpty(parts) {
		end = lifecycle.Emptied
	}
	return p.life.Fire(end)
}

// awaitEmpty waits until all attempts have ended and all results are fetched, or
// until the stop's longest time has passed. It tells whether nothing is left.
// A result also counts as fetched when its claim holds it.
func (p *process) awaitEmpty(parts context.Context) bool {
	limit, cancel := context.WithTimeout(parts, time.Duration(p.settings.Results.StopMS)*time.Millisecond)
	defer cancel()
	go p.awaitRecords(limit)
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for {
		left := p.keeper.pending()
		if left == (pending{}) {
			linger(parts, p.linger)
			return true
		}
		select {
		case <-limit.Done():
			p.logger.Warn(event.StopExpired, observe.Fields{
				"unsettled":      left.unsettled,
				"unacknowledged": left.unacknowledged,
				"readers":        left.readers,
			})
			return false
		case <-ticker.C:
		}
	}
}

// linger waits for a time, or until ctx ends.
func linger(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
}
