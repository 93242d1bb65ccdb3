package entry

import (
	"context"
	"net"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/memory"
	"acaciawinch/observe/lifecycle"
)

// Run runs an entry process until ctx ends, then refuses new requests, finishes those in
// flight and returns nil. An error means that the process could not start or had to end.
func Run(ctx context.Context, settings Settings) error {
	debug.SetMemoryLimit(memory.RuntimeLimit(settings.Process.MemoryMB))
	p, err := newProcess(settings)
	if err != nil {
		return err
	}
	defer p.close()
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	return p.run(ctx, listeners)
}

// run serves on the open listeners and logs the start and the end of the process.
func (p *process) run(ctx context.Context, open listeners) error {
	if err := p.lifecycle.Fire(lifecycle.Opened); err != nil {
		return err
	}
	identity := lifecycle.Identity{
		Role:        fleet.RoleEntry,
		Name:        p.settings.Process.Name,
		Zone:        p.settings.Process.Zone,
		Incarnation: p.incarnation,
	}
	return p.lifecycle.RunLogged(p.logger, identity, func() error { return p.serve(ctx, open) })
}

// listeners are the three open listeners of a process.
type listeners struct {
	callers net.Listener
	fleet   net.Listener
	admin   net.Listener
}

// listen opens all listeners. If one fails, it closes the others.
func listen(settings Settings) (listeners, error) {
	var opened []net.Listener
	for _, addr := range []string{settings.Listen.Callers, settings.Listen.Fleet, settings.Listen.Admin} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			for _, other := range opened {
				_ = other.Close() // the error of net.Listen is returned instead
			}
			return listeners{}, fault.Wrap(fault.Unavailable, "entry.listen", addr, err)
		}
		opened = append(opened, listener)
	}
	return listeners{callers: opened[0], fleet: opened[1], admin: opened[2]}, nil
}

// serve serves until ctx has ended and the drain is complete. The components run on a
// context of their own until the end of the drain, because requests in flight need all
// of them.
func (p *process) serve(ctx context.Context, open listeners) error {
	servers := newServers(p, open)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, component := range []func(context.Context) error{p.feed.Run, p.router.Run, p.proposer.Run, p.sweeper.Run, p.cleaner.Run, p.limiter.Run, p.awaitState} {
		group.Go(func() error { return component(runCtx) })
	}
	group.Go(func() error { return p.rpc.Serve(runCtx, open.fleet) })
	group.Go(servers.serveAdmin)
	group.Go(servers.serveCallers)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			err := p.drain()
			servers.shutdown()
			return err
		case <-runCtx.Done():
			servers.shutdown()
			return nil
		}
	})
	return ignoreCancelled(group.Wait())
}

// awaitState waits for the first state of the fleet and marks the process ready.
func (p *process) awaitState(ctx context.Context) error {
	for {
		changed := p.feed.Changed()
		if p.feed.State() != nil {
			return p.lifecycle.FireIfAllowed(lifecycle.Synced)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
