package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/gateway/framing"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Limits of the HTTP servers.
const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the client idle time of every known configuration, so that the
	// server does not close a connection while a client sends a request on it.
	idleTimeout = 90 * time.Second
	// headerBytes bounds the size of a request's headers; known configurations allow 16 KB.
	headerBytes = 32 << 10
)

// Timing of a planned shutdown.
const (
	// drainAcceptTime is how long new connections and requests are still accepted after
	// the signal. The load balancer needs two probes, one second apart, to see that this
	// process is not ready; the remainder is for connections that are being opened.
	drainAcceptTime = 2800 * time.Millisecond
	// graceMargin is how long before the end of the platform's grace period the drain is cut
	// off: at its end the platform kills the process.
	graceMargin = 500 * time.Millisecond
)

// servers holds the HTTP servers of a gateway.
type servers struct {
	process   *process
	ports     listeners
	clients   *http.Server
	readiness *http.Server
	metrics   *http.Server
	draining  atomic.Bool
}

// newServers returns the servers of a process. They don't serve yet.
func newServers(p *process, ports listeners) *servers {
	s := &servers{process: p, ports: ports}
	s.clients = &http.Server{
		Handler:                      p.flow,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               headerBytes,
		DisableGeneralOptionsHandler: true,
	}
	framing.Enable(s.clients)
	s.readiness = &http.Server{Handler: http.HandlerFunc(s.ready), ReadHeaderTimeout: headerTimeout}
	s.metrics = &http.Server{Handler: p.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	return s
}

// ready handles the readiness probes of the platform's load balancer.
func (s *servers) ready(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || !s.process.view.AcceptsConnections() || !s.process.versions.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// loops returns the serve loops of the servers.
func (s *servers) loops() []func() error {
	loop := func(server *http.Server, listener net.Listener) func() error {
		return func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return fault.Wrap(fault.Unavailable, "gateway.serve", listener.Addr().String(), err)
			}
			return nil
		}
	}
	return []func() error{
		loop(s.clients, framing.Listener{Listener: s.ports.clients, Memory: s.process.memory}),
		loop(s.readiness, s.ports.readiness),
		loop(s.metrics, s.ports.metrics),
	}
}

// drain performs a planned shutdown. It reports not ready at once, so that the load balancer
// sends no new connections; it accepts requests for a while longer, closing the connection
// after each response; then it waits for the requests in flight.
//
// All steps share one grace period that starts at the signal. The removal of this process's
// own object from the store is part of it: when the removal had additional time, up to a second
// while the store was unreachable, the platform killed some processes in each fleet-wide
// restart.
func (s *servers) drain() {
	p := s.process
	s.draining.Store(true)
	p.flow.Drain()
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.flow.InFlight()})
	p.dispatcher.Leave()
	p.owner.Leave()
	p.limits.Leave()
	p.versions.Leave()
	p.paces.Leave()
	grace := time.Duration(p.settings.Bounds.GraceSeconds*float64(time.Second)) - graceMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	accepting := time.NewTimer(min(drainAcceptTime, grace/2))
	defer accepting.Stop()
	p.view.Leave(ctx)
	<-accepting.C
	if err := s.clients.Shutdown(ctx); err != nil {
		p.logger.Warn(event.ProcessDraining, observe.Fields{"in_flight": p.flow.InFlight()})
	}
}

// close closes all servers.
func (s *servers) close() {
	for _, server := range []*http.Server{s.clients, s.readiness, s.metrics} {
		_ = server.Close() // connections still open at the end of the grace period are cut
	}
}
