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
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is above the idle time that any configuration known allows clients,
	// so that a request does not cross our close.
	idleTimeout = 90 * time.Second
	// headerBytes bounds a request's head; configurations known allow 16 KB.
	headerBytes = 32 << 10
)

// Timing of a planned stop.
const (
	// acceptFor is how long new connections and requests are still taken after the
	// signal: the balancer needs two questions, a second apart, to see that this
	// process is not ready, and some more for connections on their way.
	acceptFor = 2800 * time.Millisecond
	// endBefore is how long before the platform kills the process it ends itself.
	endBefore = 500 * time.Millisecond
)

// servers are the HTTP servers of a gateway.
type servers struct {
	process   *process
	open      listeners
	clients   *http.Server
	readiness *http.Server
	metrics   *http.Server
	draining  atomic.Bool
}

// newServers returns servers that do not listen yet.
func newServers(p *process, open listeners) *servers {
	s := &servers{process: p, open: open}
	s.clients = &http.Server{
		Handler:                      p.flow,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               headerBytes,
		DisableGeneralOptionsHandler: true,
	}
	framing.Watch(s.clients)
	s.readiness = &http.Server{Handler: http.HandlerFunc(s.ready), ReadHeaderTimeout: headerTimeout}
	s.metrics = &http.Server{Handler: p.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	return s
}

// ready answers the platform's balancer.
func (s *servers) ready(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || !s.process.view.TakesNew() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// all returns the loops of the servers.
func (s *servers) all() []func() error {
	loop := func(server *http.Server, listener net.Listener) func() error {
		return func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return fault.Wrap(fault.Unavailable, "gateway.serve", listener.Addr().String(), err)
			}
			return nil
		}
	}
	return []func() error{
		loop(s.clients, framing.Listener{Listener: s.open.clients}),
		loop(s.readiness, s.open.readiness),
		loop(s.metrics, s.open.metrics),
	}
}

// drain carries out a planned stop: not ready at once, so that no new connections
// come; requests are taken for a while longer, each answer closing its connection;
// then what is in flight is finished. All of it fits into the grace time, counted from the
// signal: with the removal of the own object counted on top, up to a second while the store
// was away, some processes of each fleet-wide restart were killed by the platform.
func (s *servers) drain() {
	p := s.process
	s.draining.Store(true)
	p.flow.Drain()
	p.logger.Event(event.ProcessDraining, observe.Fields{"in_flight": p.flow.InFlight()})
	p.asker.Leave()
	p.owner.Leave()
	grace := time.Duration(p.settings.Bounds.GraceSeconds*float64(time.Second)) - endBefore
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	accepting := time.NewTimer(min(acceptFor, grace/2))
	defer accepting.Stop()
	p.view.Leave(ctx)
	<-accepting.C
	if err := s.clients.Shutdown(ctx); err != nil {
		p.logger.Warn(event.ProcessDraining, observe.Fields{"in_flight": p.flow.InFlight()})
	}
}

// close ends all servers.
func (s *servers) close() {
	for _, server := range []*http.Server{s.clients, s.readiness, s.metrics} {
		_ = server.Close() // what is open at the end of the grace time is cut
	}
}
