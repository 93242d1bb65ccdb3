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

// Timeouts of the callers' listener and of the drain.
const (
	callersHeaderTimeout = 5 * time.Second
	callersReadTimeout   = 15 * time.Second
	callersIdleTimeout   = 60 * time.Second
	// minDrainPeriod is the minimum time for which a draining process keeps refusing
	// new requests, so that the load balancer sees that it is not ready.
	minDrainPeriod = 500 * time.Millisecond
)

// servers are the HTTP servers of a process, for callers and for operators, with its open
// listeners.
type servers struct {
	callers *http.Server
	admin   *http.Server
	open    listeners
}

// permitLimiter adapts a limit.Limiter to callers.Limiter.
type permitLimiter struct{ limiter *limit.Limiter }

// Acquire implements callers.Limiter.
func (p permitLimiter) Acquire(r pipeline.Request) callers.Permit {
	return p.limiter.Acquire(r.ID, r.Workspace.Name, r.Workspace.MaxInFlight, r.Deadline)
}

// newServers returns the HTTP servers for callers and for operators.
func newServers(p *process, open listeners) *servers {
	limits := p.settings.Limits
	handler := callers.New(callers.Options{
		Name:        p.settings.Process.Name,
		State:       p.callersState,
		Runner:      p.runner,
		Finder:      p.finder,
		Traces:      p.traces,
		Gate:        p.gate,
		Limiter:     permitLimiter{p.limiter},
		BodyBytes:   limits.BodyBytes,
		HeaderBytes: limits.HeaderBytes,
		Memory:      p.memory,
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
			// The handler itself refuses headers larger than HeaderBytes, with a problem
			// document. The server's own limit must therefore be higher.
			MaxHeaderBytes: 2*limits.HeaderBytes + 4096,
		},
		admin: &http.Server{
			ReadHeaderTimeout: adminHeaderTimeout,
			Handler: newAdmin(adminOptions{
				ready:   p.lifecycle.Ready,
				status:  p.status,
				explain: p.finder.Trace,
				metrics: p.metrics.Handler(),
			}),
		},
	}
}

// serveAdmin serves operators until the server is shut down.
func (s *servers) serveAdmin() error { return serveHTTP(s.admin, s.open.admin) }

// serveCallers serves callers until the server is shut down.
func (s *servers) serveCallers() error { return serveHTTP(s.callers, s.open.callers) }

// serveHTTP serves until the server is shut down, and returns nil in that case.
func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes both servers. Responses that are being written have until
// shutdownTimeout to finish.
func (s *servers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx) // connections still open at the timeout are dropped
	_ = s.admin.Shutdown(ctx)   // as above
}

// drain ends the admission of requests and waits until no request is in flight and all
// results are recorded in their claims, or until drain_seconds have passed. Meanwhile new requests are
// refused with the outcome not_run.
func (p *process) drain() error {
	if err := p.lifecycle.Fire(lifecycle.Stop); err != nil {
		return err
	}
	idle := p.gate.Drain()
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.gate.Counts().InFlight})
	timeout := time.Duration(p.settings.Limits.DrainSeconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	minimum := time.NewTimer(minDrainPeriod)
	defer minimum.Stop()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	p.runner.Wait(ctx)
	end := lifecycle.Emptied
	if ctx.Err() != nil {
		end = lifecycle.Expired
	}
	<-minimum.C
	return p.lifecycle.Fire(end)
}

// ignoreCancelled returns err, nil if it is a context.Canceled.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
