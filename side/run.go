package side

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/observe/lifecycle"
)

// Run runs a sidecar process until ctx ends, then stops gracefully and returns nil. An
// error means that the process could not start or had to end.
func Run(ctx context.Context, settings Settings) error {
	p, err := newProcess(settings)
	if err != nil {
		return err
	}
	defer p.close()
	listeners, err := listen(settings.Listen)
	if err != nil {
		return err
	}
	identity := lifecycle.Identity{
		Role:        fleet.RoleUpstream,
		Name:        settings.Process.Name,
		Zone:        settings.Process.Zone,
		Incarnation: p.incarnation,
	}
	return p.lifecycle.RunLogged(p.logger, identity, func() error { return p.serve(ctx, listeners) })
}

// listeners are the open listeners of a process.
type listeners struct {
	fleet net.Listener
	admin net.Listener
}

// listen opens the listeners. Errors have code Unavailable and step "side.listen".
func listen(settings ListenSettings) (listeners, error) {
	const step = "side.listen"
	fleetListener, err := net.Listen("tcp", settings.Fleet)
	if err != nil {
		return listeners{}, fault.Wrap(fault.Unavailable, step, settings.Fleet, err)
	}
	adminListener, err := net.Listen("tcp", settings.Admin)
	if err != nil {
		_ = fleetListener.Close() // the listen error is returned
		return listeners{}, fault.Wrap(fault.Unavailable, step, settings.Admin, err)
	}
	return listeners{fleet: fleetListener, admin: adminListener}, nil
}

// serve runs all components until ctx ends and the planned stop is over. The components
// have a context of their own, because the process still serves calls while it drains.
func (p *process) serve(ctx context.Context, open listeners) error {
	if err := p.lifecycle.Fire(lifecycle.Opened); err != nil {
		return err
	}
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(base)
	group.Go(func() error { return unlessDone(runCtx, p.rpc.Serve(runCtx, open.fleet)) })
	group.Go(func() error { return serveAdmin(runCtx, p.admin(), open.admin) })
	group.Go(func() error { return p.dispatcher.run(runCtx) })
	group.Go(func() error { return p.dispatcher.pollReports(runCtx, p.markSynced) })
	group.Go(func() error { return unlessDone(runCtx, p.feed.Run(runCtx)) })
	group.Go(func() error { return watchFleet(runCtx, p.feed, p.dispatcher, p.reconciler) })
	group.Go(func() error { return p.meter.run(runCtx) })
	if p.reconciler != nil {
		group.Go(func() error { return p.reconciler.run(runCtx) })
		group.Go(func() error { return p.dispatcher.pollCacheEvents(runCtx) })
	}
	group.Go(func() error {
		defer cancel()
		return p.awaitStop(ctx, runCtx)
	})
	return group.Wait()
}

// unlessDone returns err, or nil if ctx has ended: errors after that come from the
// shutdown itself.
func unlessDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveAdmin serves the admin paths until ctx ends.
func serveAdmin(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // open connections are closed at once
	defer stop()
	return unlessDone(ctx, server.Serve(listener))
}
