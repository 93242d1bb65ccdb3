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

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
)

// Limits of a server.
const (
	// maxHandshakes bounds the connections that are in the handshake at once: more
	// than all processes of the fleet that reconnect together.
	maxHandshakes = 2048
	// acceptBackoff is the wait after an accept that failed with a transient error.
	acceptBackoff = 500 * time.Millisecond
	// reportInterval is the minimum time between two reports of refused connections.
	reportInterval = time.Second
)

// Refusal describes a connection that was refused.
type Refusal struct {
	// Peer is the address of the other end.
	Peer string
	// Err is a *fault.Error with the step and the peer.
	Err error
	// Total is how many connections the server has refused so far; not every refusal
	// is reported.
	Total uint64
}

// Server serves drpc calls on connections whose other end has the fleet's key.
type Server struct {
	key     string
	mux     *drpcmux.Mux
	traffic Traffic

	handshakeTimeout time.Duration
	// handshakes holds one element for each connection in the handshake.
	handshakes chan struct{}

	// onOverLimit is called with the address of a peer whose message exceeded MaxMessageBytes.
	onOverLimit func(addr string)
	// memory bounds the messages that come in at the same time; nil sets no bound.
	memory *memory.Budget

	onRefused    func(Refusal)
	refusedTotal atomic.Uint64
	// lastReport is the time of the last call of onRefused, in Unix nanoseconds.
	lastReport atomic.Int64
}

// NewServer returns a Server without services. With an empty key it refuses every connection.
func NewServer(key string) *Server {
	return &Server{
		key:              key,
		mux:              drpcmux.New(),
		handshakeTimeout: handshakeTimeout,
		handshakes:       make(chan struct{}, maxHandshakes),
		onRefused:        func(Refusal) {},
	}
}

// Mux returns the mux on which services are registered with the generated DRPCRegister
// functions, before Serve is called.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Traffic returns the byte counts of all accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// OnRefused sets the function that receives refused connections, at most one in a second.
// It must be called before Serve; report may be called by several goroutines.
func (s *Server) OnRefused(report func(Refusal)) { s.onRefused = report }

// OnOverLimit sets a function to call with the address of a peer whose message exceeded MaxMessageBytes; its
// connection is closed. It must be called before Serve, and may be called by several goroutines.
func (s *Server) OnOverLimit(call func(addr string)) { s.onOverLimit = call }

// UseMemory makes messages reserve their memory in a budget while they come in. It must be called before Serve.
func (s *Server) UseMemory(budget *memory.Budget) { s.memory = budget }

// Serve accepts and serves connections until ctx ends. It closes listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // the server is stopping
	var connections sync.WaitGroup
	defer func() {
		cancel()
		stop()
		connections.Wait()
	}()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			connections.Go(func() { s.serveConn(ctx, conn) })
		case ctx.Err() != nil:
			return nil
		case isTransient(err):
			sleep(ctx, acceptBackoff)
		default:
			return fault.Wrap(fault.Unavailable, "link.accept", listener.Addr().String(), err)
		}
	}
}

// isTransient reports whether an accept failed with an error that may pass, such as a
// lack of resources.
func isTransient(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
}

// ServeConn serves one connection, which the caller has accepted, until the connection
// or ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	s.serveConn(ctx, conn)
}

// serveConn makes the handshake and serves the calls of one connection.
func (s *Server) serveConn(ctx context.Context, accepted net.Conn) {
	conn := newMessageConn(countedConn{Conn: accepted, traffic: &s.traffic}, s.memory)
	defer func() { _ = conn.Close() }() // its calls have ended
	if err := s.handshake(ctx, conn); err != nil {
		s.report(ctx, conn.RemoteAddr().String(), err)
		return
	}
	calls := newCalls(handler{next: s.mux, received: conn.received})
	if err := calls.ServeOne(ctx, conn); isOverLimit(err) && s.onOverLimit != nil {
		s.onOverLimit(conn.RemoteAddr().String())
	}
}

// handshake makes the handshake with a client, unless maxHandshakes others are in
// progress.
func (s *Server) handshake(ctx context.Context, conn net.Conn) error {
	select {
	case s.handshakes <- struct{}{}:
		defer func() { <-s.handshakes }()
	default:
		_, _ = conn.Write(statusMessage(statusBusy, challengeBytes)) // the error is returned; the peer may have disconnected
		return fault.New(fault.Refused, stepHandshake, conn.RemoteAddr().String(),
			"%d connections are in the handshake already", cap(s.handshakes))
	}
	return withTimeout(ctx, conn, s.handshakeTimeout, func() error { return serverHandshake(conn, s.key) })
}

// report counts a refused connection and passes it to onRefused, unless another one was
// reported less than reportInterval ago. It does nothing once ctx has ended.
func (s *Server) report(ctx context.Context, peer string, err error) {
	if ctx.Err() != nil {
		return
	}
	total := s.refusedTotal.Add(1)
	now, last := time.Now().UnixNano(), s.lastReport.Load()
	if now-last < int64(reportInterval) || !s.lastReport.CompareAndSwap(last, now) {
		return
	}
	s.onRefused(Refusal{Peer: peer, Err: err, Total: total})
}
