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

// metricsPrefix is the prefix of the sidecar's metric names.
const metricsPrefix = "acaciawinch_side"

// Timeouts and intervals of the process.
const (
	adminHeaderTimeout = 5 * time.Second
	// stopCheckInterval is how often a planned stop checks whether it can end.
	stopCheckInterval = 20 * time.Millisecond
	// stopLinger is the default of process.linger.
	stopLinger = 100 * time.Millisecond
)

// process holds the components of one sidecar process.
type process struct {
	settings    Settings
	incarnation core.Incarnation
	lifecycle   *lifecycle.Lifecycle
	logger      *observe.Logger
	metrics     *observe.Metrics
	dialer      *link.Dialer
	rpc         *link.Server
	feed        *feed.Feed
	dispatcher  *dispatcher
	meter       *meter
	// linger is how long connections stay open after the drain, so that the last
	// replies are sent.
	linger time.Duration
	// reconciler is nil unless the upstream is an engine.
	reconciler *modelReconciler
	// objects is the client of the platform's object API.
	objects *objects.Client
}

// newProcess creates the components and connects them. It starts none of them.
func newProcess(settings Settings) (*process, error) {
	logger, err := observe.NewLogger(os.Stderr, settings.Process.Name, settings.Process.LogLevel)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "side.log", "", err)
	}
	p := &process{
		settings:    settings,
		incarnation: core.Incarnation(rand.Uint64()),
		lifecycle:   lifecycle.New(settings.Process.Name),
		linger:      stopLinger,
		logger:      logger,
		metrics:     observe.NewMetrics(metricsPrefix),
		dialer:      link.NewDialer(settings.Fleet.Key),
		rpc:         link.NewServer(settings.Fleet.Key),
		objects:     objects.NewClient(settings.Platform.Objects),
	}
	p.objects.OnUnreadable(p.logUnreadable("objects"))
	p.feed = p.newFeed()
	p.dispatcher = newDispatcher(p.dispatcherOptions())
	p.meter = newMeter(p.metrics.Scope(), p.dispatcher, p.rpc.Traffic())
	if settings.Upstream.Kind == config.KindEngine {
		p.reconciler = newModelReconciler(p.dispatcher)
	}
	p.rpc.OnRefused(p.logRefused)
	if err := wirepb.DRPCRegisterSide(p.rpc.Mux(), p.newServer()); err != nil {
		return nil, fault.Wrap(fault.Internal, "side.register", "", err)
	}
	return p, nil
}

// newFeed returns the process's subscription to the fleet's state.
func (p *process) newFeed() *feed.Feed {
	return feed.New(feed.Options{
		Name:    p.settings.Process.Name,
		Zone:    p.settings.Process.Zone,
		Region:  p.settings.Process.Region,
		Role:    fleet.RoleUpstream,
		Objects: p.objects,
		Hosts:   p.hostList(),
		Dialer:  p.dialer,
		Logger:  p.logger,
		Metrics: p.metrics.Scope(),
		Seed:    rand.Uint64(),
	})
}

// dispatcherOptions derives the options of the dispatcher from the settings.
func (p *process) dispatcherOptions() dispatcherOptions {
	s := p.settings
	started := time.Now()
	return dispatcherOptions{
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
		dispatcher:    p.dispatcher,
		incarnation:   p.incarnation,
		maxInputBytes: p.settings.Queue.MaxInputBytes,
		revision:      p.revision,
		noteRevision:  p.noteRevision,
	}
}

// revision returns the latest configuration revision that the process has, or 0.
func (p *process) revision() core.Revision {
	if state := p.feed.State(); state != nil {
		return state.Revision
	}
	return 0
}

// noteRevision reports a newer revision, seen in a message, to the feed. The sender's
// address isn't known here, so the feed chooses the entry to pull the revision from.
func (p *process) noteRevision(revision core.Revision) {
	if revision > p.revision() {
		p.feed.NoteRevision(revision, "")
	}
}

// markSynced reports to the lifecycle that the upstream's health is known.
func (p *process) markSynced() {
	if err := p.lifecycle.FireIfAllowed(lifecycle.Synced); err != nil {
		p.logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
	}
}

// admin returns the handler of the admin paths.
func (p *process) admin() http.Handler {
	return newAdmin(adminOptions{
		ready:   p.lifecycle.Ready,
		status:  p.status,
		metrics: p.metrics.Handler(),
	})
}

// close releases the dialer and the metrics.
func (p *process) close() {
	_ = p.dialer.Close()  // the process is exiting
	_ = p.metrics.Close() // the process is exiting
}

// awaitStop waits until ctx ends, then runs the planned stop. It returns early if the
// components end first; runCtx is their context.
func (p *process) awaitStop(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	p.dispatcher.setDrain(gate.DrainStop, true)
	if err := p.lifecycle.Fire(lifecycle.Stop); err != nil {
		return err
	}
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.dispatcher.pending().unsettled})
	end := lifecycle.Expired
	if p.awaitIdle(runCtx) {
		end = lifecycle.Emptied
	}
	return p.lifecycle.Fire(end)
}

// awaitIdle waits until every attempt has ended and no caller needs a stored result,
// or until the time limit of the planned stop. It reports whether nothing remains. A
// result is no longer needed once it is acknowledged or its claim object holds it, or
// if it was sent completely and its attempt is idempotent.
func (p *process) awaitIdle(runCtx context.Context) bool {
	stopCtx, cancel := context.WithTimeout(runCtx, time.Duration(p.settings.Results.StopMS)*time.Millisecond)
	defer cancel()
	go p.awaitRecords(stopCtx)
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for {
		remaining := p.dispatcher.pending()
		if remaining == (pending{}) {
			sleep(runCtx, p.linger)
			return true
		}
		select {
		case <-stopCtx.Done():
			p.logger.Warn(event.StopExpired, observe.Fields{
				"unsettled":      remaining.unsettled,
				"unacknowledged": remaining.unacknowledged,
				"readers":        remaining.subscribers,
			})
			return false
		case <-ticker.C:
		}
	}
}

// sleep waits for the given time, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
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
