package entry

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/observe/lifecycle"
)

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
	return p.run(ctx, listeners)
}

// run serves on open ports and logs the start and the end.
func (p *process) run(ctx context.Context, open listeners) error {
	if err := p.life.Fire(lifecycle.Opened); err != nil {
		return err
	}
	who := lifecycle.Identity{
		Role:        fleet.RoleEntry,
		Name:        p.settings.Process.Name,
		Zone:        p.settings.Process.Zone,
		Incarnation: p.incarnation,
	}
	return p.life.Log(p.logger, who, func() error { return p.serve(ctx, open) })
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
				_ = other.Close() // the error that is returned tells more
			}
			return listeners{}, fault.Wrap(fault.Unavailable, "entry.listen", addr, err)
		}
		opened = append(opened, listener)
	}
	return listeners{callers: opened[0], fleet: opened[1], admin: opened[2]}, nil
}

// serve serves until ctx ends and the drain is over. The parts' own life outlasts
// ctx by the drain: requests in flight need all of them.
func (p *process) serve(ctx context.Context, open listeners) error {
	servers := newServers(p, open)
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, life := errgroup.WithContext(life)
	for _, part := range []func(context.Context) error{p.feed.Run, p.router.Run, p.proposer.Run, p.sweeper.Run, p.cleaner.Run, p.limiter.Run, p.awaitState} {
		group.Go(func() error { return part(life) })
	}
	group.Go(func() error { return p.rpc.Serve(life, open.fleet) })
	group.Go(servers.serveAdmin)
	group.Go(servers.serveCallers)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			err := p.drain()
			servers.shutdown()
			return err
		case <-life.Done():
			servers.shutdown()
			return nil
		}
	})
	return ignoreCancelled(group.Wait())
}

// awaitState makes the process ready once the state of the fleet is known.
func (p *process) awaitState(ctx context.Context) error {
	for {
		changed := p.feed.Changed()
		if p.feed.State() != nil {
			return p.life.FireIfAllowed(lifecycle.Synced)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
