package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"acaciawinch/core/fault"
)

// Limits of a server.
const (
	// maxHandshakes bounds the connections that are in the handshake at once: more
	// than all processes of the fleet that come back together.
	maxHandshakes = 2048
	// acceptPause is the wait after an accept that failed for lack of resources.
	acceptPause = 500 * time.Millisecond
	// reportEvery is the time that passes at least between two reports of refused
	// connections.
	reportEvery = time.Second
)

// Refusal tells of a connection that was refused.
type Refusal struct {
	// Peer is the address of the other end.
	Peer string
	// Err is a *fault.Error with the step and the peer.
	Err error
	// Total is how many connections the server has refused so far; not each is
	// reported.
	Total uint64
}

// Server serves drpc calls on connections whose other end holds the fleet's key.
type Server struct {
	key     string
	mux     *drpcmux.Mux
	traffic Traffic

	patience   time.Duration
	handshakes chan struct{}

	refused  func(Refusal)
	refusals atomic.Uint64
	reported atomic.Int64
}

// NewServer returns a Server without services. An empty key serves nobody.
func NewServer(key string) *Server {
	return &Server{
		key:        key,
		mux:        drpcmux.New(),
		patience:   handshakeTimeout,
		handshakes: make(chan struct{}, maxHandshakes),
		refused:    func(Refusal) {},
	}
}

// Mux returns where services are registered, by the generated DRPCRegister
// functions, before Serve is called.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Traffic returns the bytes of all accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// OnRefused sets what is told of refused connections, of one in a second at most.
// It is called before Serve; report is called by several goroutines.
func (s *Server) OnRefused(report func(Refusal)) { s.refused = report }

// Serve accepts connections until ctx ends. It closes listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // the server ends
	var connections sync.WaitGroup
	defer func() {
		cancel()
		stop()
		connections.Wait()
	}()
	calls := drpcserver.New(handler{next: s.mux})
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			connections.Go(func() { s.serveConn(ctx, calls, conn) })
		case ctx.Err() != nil:
			return nil
		case lacksResources(err):
			pause(ctx, acceptPause)
		default:
			return fault.Wrap(fault.Unavailable, "link.accept", listener.Addr().String(), err)
		}
	}
}

// lacksResources tells whether an accept failed for a cause that passes.
func lacksResources(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
}

// ServeConn serves one connection, which the caller has accepted itself, until it
// or ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	s.serveConn(ctx, drpcserver.New(handler{next: s.mux}), conn)
}

// serveConn serves the calls of one connection after its handshake. How the
// connection ends is no error of the server.
func (s *Server) serveConn(ctx context.Context, calls *drpcserver.Server, conn net.Conn) {
	conn = countedConn{Conn: conn, traffic: &s.traffic}
	defer func() { _ = conn.Close() }() // its calls are over
	if err := s.admit(ctx, conn); err != nil {
		s.report(ctx, conn.RemoteAddr().String(), err)
		return
	}
	_ = calls.ServeOne(ctx, conn) // how the connection ends is no error of the server
}

// admit makes the handshake, unless too many others are in it.
func (s *Server) admit(ctx context.Context, conn net.Conn) error {
	select {
	case s.handshakes <- struct{}{}:
		defer func() { <-s.handshakes }()
	default:
		_, _ = conn.Write(refusal(statusBusy, challengeBytes)) // the refusal is returned; the peer may have gone
		return fault.New(fault.Refused, stepHandshake, conn.RemoteAddr().String(),
			"%d connections are in the handshake already", cap(s.handshakes))
	}
	return bounded(ctx, conn, s.patience, func() error { return challenge(conn, s.key) })
}

// report tells of a refused connection, unless one was told of just now or the
// server ends.
func (s *Server) report(ctx context.Context, peer string, err error) {
	if ctx.Err() != nil {
		return
	}
	total := s.refusals.Add(1)
	now, last := time.Now().UnixNano(), s.reported.Load()
	if now-last < int64(reportEvery) || !s.reported.CompareAndSwap(last, now) {
		return
	}
	s.refused(Refusal{Peer: peer, Err: err, Total: total})
}
