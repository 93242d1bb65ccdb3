package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc/drpcconn"

	"acaciawinch/core/fault"
	"acaciawinch/wire/wirepb"
)

// fleetKey is the key of the servers under test.
const fleetKey = "the fleet's key"

// testServer is a server under test that counts the calls that it serves.
type testServer struct {
	wirepb.DRPCSideUnimplementedServer
	*Server
	addr    string
	served  atomic.Int64
	refused chan Refusal
}

// Probe implements wirepb.DRPCSideServer.
func (g *testServer) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	g.served.Add(1)
	return &wirepb.ProbeReply{Revision: 7}, nil
}

// startServer serves with key at addr, after edit has changed the server, until the
// returned function is called or the test ends.
func startServer(t *testing.T, key, addr string, edit func(*Server)) (*testServer, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return startServerAt(t, key, listener, edit)
}

// startServerAt is startServer with an open listener.
func startServerAt(t *testing.T, key string, listener net.Listener, edit func(*Server)) (*testServer, func()) {
	t.Helper()
	g := &testServer{Server: NewServer(key), addr: listener.Addr().String(), refused: make(chan Refusal, 16)}
	assert.NilError(t, wirepb.DRPCRegisterSide(g.Mux(), g))
	g.OnRefused(func(r Refusal) { g.refused <- r })
	edit(g.Server)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.Serve(ctx, listener) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
		done <- nil
	}
	t.Cleanup(stop)
	return g, stop
}

// withLongTimeout sets a handshake timeout that no test reaches, however slow the
// machine is.
func withLongTimeout(s *Server) { s.handshakeTimeout = time.Minute }

// newDialer returns a dialer with the same handshake timeout.
func newDialer(key string) *Dialer {
	dialer := NewDialer(key)
	dialer.handshakeTimeout = time.Minute
	return dialer
}

// connect opens a connection to g, reads the challenge and does not continue the
// handshake.
func (g *testServer) connect(t *testing.T) (net.Conn, [challengeBytes]byte) {
	t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	var hello [challengeBytes]byte
	_, err = io.ReadFull(conn, hello[:])
	assert.NilError(t, err)
	return conn, hello
}

// assertRefused checks that the client received the refusal, that the server reported it
// with step and peer, and that nothing was served.
func (g *testServer) assertRefused(t *testing.T, conn net.Conn) {
	t.Helper()
	var verdict [verdictBytes]byte
	_, err := io.ReadFull(conn, verdict[:])
	assert.NilError(t, err)
	assert.Equal(t, status(verdict[0]), statusWrongKey)
	_, err = conn.Read(verdict[:])
	assert.ErrorIs(t, err, io.EOF)
	g.assertReported(t, conn.LocalAddr().String(), "does not hold this fleet's key")
}

// assertReported checks the report of a refused connection from peer.
func (g *testServer) assertReported(t *testing.T, peer, detail string) {
	t.Helper()
	refusal := <-g.refused
	var err *fault.Error
	assert.Assert(t, errors.As(refusal.Err, &err))
	assert.Equal(t, err.Step, "link.handshake")
	assert.Equal(t, err.Peer, peer)
	assert.ErrorContains(t, err, detail)
	assert.Equal(t, refusal.Peer, peer)
	assert.Equal(t, refusal.Total, uint64(1))
	assert.Equal(t, g.served.Load(), int64(0))
}

// probe makes one call.
func probe(ctx context.Context, dialer *Dialer, addr string) error {
	_, err := wirepb.NewDRPCSideClient(dialer.Conn(ctx, addr)).Probe(ctx, &wirepb.ProbeRequest{})
	return err
}

func TestAnotherKeyIsRefusedAtBothEnds(t *testing.T) {
	for _, keys := range [][2]string{{fleetKey, "another"}, {fleetKey, ""}, {"", ""}, {"", fleetKey}} {
		g, _ := startServer(t, keys[0], "127.0.0.1:0", withLongTimeout)
		dialer := newDialer(keys[1])

		err := probe(t.Context(), dialer, g.addr)

		assert.ErrorContains(t, err, "refused at link.handshake with "+g.addr+": the server refuses this process's key")
		var outer *fault.Error
		assert.Assert(t, errors.As(err, &outer))
		assert.Equal(t, outer.Step, "link.dial")
		assert.Equal(t, outer.Code, fault.Unavailable)
		refusal := <-g.refused
		assert.ErrorContains(t, refusal.Err, "refused at link.handshake with 127.0.0.1:")
		assert.ErrorContains(t, refusal.Err, "does not hold this fleet's key")
		assert.Equal(t, g.served.Load(), int64(0))
	}
}

func TestTheKeyIsNeverSent(t *testing.T) {
	g, _ := startServer(t, fleetKey, "127.0.0.1:0", withLongTimeout)
	conn, hello := g.connect(t)
	sent := clientResponse(nonce(hello[1:]), newNonce())

	_, err := conn.Write(sent)
	assert.NilError(t, err)
	var verdict [verdictBytes]byte
	_, err = io.ReadFull(conn, verdict[:])
	assert.NilError(t, err)

	assert.Equal(t, status(verdict[0]), statusOK)
	for _, message := range [][]byte{hello[:], sent, verdict[:]} {
		assert.Assert(t, !contains(message, fleetKey))
	}
}

// clientResponse returns the response of a client that has the key.
func clientResponse(server, client nonce) []byte {
	return append(client[:], proof(fleetKey, roleClient, server, client)...)
}

// contains reports whether text is part of message.
func contains(message []byte, text string) bool {
	for i := range message {
		if len(message)-i >= len(text) && string(message[i:i+len(text)]) == text {
			return true
		}
	}
	return false
}

func TestAReplayedResponseIsRefused(t *testing.T) {
	g, _ := startServer(t, fleetKey, "127.0.0.1:0", withLongTimeout)
	first, hello := g.connect(t)
	recorded := clientResponse(nonce(hello[1:]), newNonce())
	_, err := first.Write(recorded)
	assert.NilError(t, err)
	var verdict [verdictBytes]byte
	_, err = io.ReadFull(first, verdict[:])
	assert.NilError(t, err)
	assert.Equal(t, status(verdict[0]), statusOK)

	second, secondHello := g.connect(t)
	assert.Assert(t, secondHello != hello)
	_, err = second.Write(recorded)
	assert.NilError(t, err)

	g.assertRefused(t, second)
}

func TestTheServersProofIsRefusedFromAClient(t *testing.T) {
	g, _ := startServer(t, fleetKey, "127.0.0.1:0", withLongTimeout)
	conn, hello := g.connect(t)
	server, client := nonce(hello[1:]), newNonce()

	_, err := conn.Write(append(client[:], proof(fleetKey, roleServer, server, client)...))
	assert.NilError(t, err)

	g.assertRefused(t, conn)
}

func TestNothingIsServedBeforeTheHandshake(t *testing.T) {
	g, _ := startServer(t, fleetKey, "127.0.0.1:0", withLongTimeout)
	bare, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	conn := drpcconn.New(bare)

	// The whole call may be sent, or the server's challenge may end it before that.
	_, err = wirepb.NewDRPCSideClient(conn).Probe(t.Context(), &wirepb.ProbeRequest{PrefixHash: 1})

	assert.Assert(t, err != nil)
	_ = conn.Close()
	g.assertReported(t, bare.LocalAddr().String(), "")
}

func TestAConnectionThatStallsIsClosed(t *testing.T) {
	for _, sent := range []int{0, 1, responseBytes - 1} {
		g, _ := startServer(t, fleetKey, "127.0.0.1:0", func(s *Server) { s.handshakeTimeout = 20 * time.Millisecond })
		conn, hello := g.connect(t)
		_, _ = conn.Write(clientResponse(nonce(hello[1:]), newNonce())[:sent])

		_, err := io.Copy(io.Discard, conn)

		// The server has closed the connection, maybe before everything was written.
		assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
		g.assertReported(t, conn.LocalAddr().String(), "deadline exceeded")
	}
}

func TestTooManyHandshakesAreRefusedUntilOneEnds(t *testing.T) {
	g, _ := startServer(t, fleetKey, "127.0.0.1:0", func(s *Server) {
		withLongTimeout(s)
		s.handshakes = make(chan struct{}, 1)
	})
	stalled, _ := g.connect(t)
	dialer := newDialer(fleetKey)
	defer dialer.Close()

	err := probe(t.Context(), dialer, g.addr)

	assert.ErrorContains(t, err, "refused at link.handshake with "+g.addr+": the server has too many")
	refusal := <-g.refused
	assert.ErrorContains(t, refusal.Err, "1 connections are in the handshake already")
	assert.NilError(t, stalled.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := probe(t.Context(), dialer, g.addr); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestAServerWithoutTheKeyGetsNoCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	got := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(statusMessage(statusOK, challengeBytes))
		_, _ = io.CopyN(io.Discard, conn, responseBytes)
		_, _ = conn.Write(statusMessage(statusOK, verdictBytes))
		remaining, _ := io.ReadAll(conn)
		got <- remaining
	}()

	err = probe(t.Context(), newDialer(fleetKey), listener.Addr().String())

	assert.ErrorContains(t, err, "the server does not hold this fleet's key")
	assert.Equal(t, len(<-got), 0)
}

func TestACancelledCallEndsItsHandshakeWithASilentServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		cancel()
		_, _ = io.Copy(io.Discard, conn)
	}()

	err = probe(ctx, newDialer(fleetKey), listener.Addr().String())

	assert.ErrorContains(t, err, "link.dial with "+listener.Addr().String())
	assert.ErrorIs(t, err, context.Canceled)
}

func TestANewConnectionIsCheckedAfterAPooledOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	socket, err := listener.(*net.TCPListener).File() // keeps the port reserved between the two servers
	assert.NilError(t, err)
	defer socket.Close()
	first, stop := startServerAt(t, fleetKey, listener, withLongTimeout)
	dialer := newDialer(fleetKey)
	defer dialer.Close()
	assert.NilError(t, probe(t.Context(), dialer, first.addr))
	assert.NilError(t, probe(t.Context(), dialer, first.addr))
	stop()

	reopened, err := net.FileListener(socket)
	assert.NilError(t, err)
	second, _ := startServerAt(t, "a new key", reopened, withLongTimeout)
	for err == nil || !errors.As(err, new(*fault.Error)) {
		err = probe(t.Context(), dialer, first.addr)
	}

	assert.ErrorContains(t, err, "the server refuses this process's key")
	assert.Equal(t, second.served.Load(), int64(0))
}
