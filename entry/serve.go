package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"acaciawinch/entry/admit"
	"acaciawinch/entry/callers"
	"acaciawinch/entry/limit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/observe/lifecycle"
)

// Timeouts of the callers' listener.
const (
	callersHeaderTimeout = 5 * time.Second
	callersReadTimeout   = 15 * time.Second
	callersIdleTimeout   = 60 * time.Second
	// refuseFor is how long a draining process goes on refusing new requests
	// after its last one ended, so that the balancer sees that it isn't ready.
	refuseFor = 500 * time.Millisecond
)

// servers are the two HTTP servers.
type servers struct {
	callers *http.Server
	admin   *http.Server
	open    listeners
}

// permits is a Limiter as callers need it.
type permits struct{ limiter *limit.Limiter }

// Ask implements callers.Limiter.
func (p permits) Ask(r pipeline.Request) callers.Permit {
	return p.limiter.Ask(r.ID, r.Workspace.Name, r.Workspace.MaxInFlight, r.Deadline)
}

// newServers builds the HTTP servers.
func newServers(p *process, open listeners) *servers {
	limits := p.settings.Limits
	handler := callers.New(callers.Options{
		Name:        p.settings.Process.Name,
		State:       p.callersState,
		Runner:      p.runner,
		Finder:      p.finder,
		Traces:      p.traces,
		Gate:        p.gate,
		Limiter:     permits{p.limiter},
		BodyBytes:   limits.BodyBytes,
		HeaderBytes: limits.HeaderBytes,
		NewID:       rand.Uint64,
		Now:         time.Now,
		Journal:     journal{logger: p.logger, scope: p.metrics.Scope()},
	})
	open.callers = admit.LimitListener(open.callers, limits.Connections)
	return &servers{
		open: open,
		callers: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: callersHeaderTimeout,
			ReadTimeout:       callersReadTimeout,
			IdleTimeout:       callersIdleTimeout,
			// The handler refuses large headers itself, with a problem document.
			MaxHeaderBytes: 2*limits.HeaderBytes + 4096,
		},
		admin: &http.Server{
			ReadHeaderTimeout: adminHeaderTimeout,
			Handler: newAdmin(adminOptions{
				ready:   p.life.Ready,
				status:  p.status,
				explain: p.finder.Trace,
				metrics: p.metrics.Handler(),
			}),
		},
	}
}

// serveAdmin serves operators until shutdown.
func (s *servers) serveAdmin() error { return serveHTTP(s.admin, s.open.admin) }

// serveCallers serves callers until shutdown.
func (s *servers) serveCallers() error { return serveHTTP(s.callers, s.open.callers) }

// serveHTTP serves until the server is shut down.
func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes both servers. Answers that are being written are finished.
func (s *servers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx) // what is open at the end of the time is cut
	_ = s.admin.Shutdown(ctx)   // as above
}

// drain ends the admission of requests and waits until none is in flight and
// nothing is left to be recorded of any, or the bound passes. New requests are
// refused truthfully all the while.
func (p *process) drain() error {
	if err := p.life.Fire(lifecycle.Stop); err != nil {
		return err
	}
	idle := p.gate.Drain()
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.gate.Counts().InFlight})
	bound := time.Duration(p.settings.Limits.DrainSeconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	linger := time.NewTimer(refuseFor)
	defer linger.Stop()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	p.runner.Wait(ctx)
	end := lifecycle.Emptied
	if ctx.Err() != nil {
		end = lifecycle.Expired
	}
	<-linger.C
	return p.life.Fire(end)
}

// ignoreCancelled returns err unless it only says that a context ended.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
