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

// guarded is a server under test that counts the calls that it serves.
type guarded struct {
	wirepb.DRPCSideUnimplementedServer
	*Server
	addr    string
	served  atomic.Int64
	refused chan Refusal
}

// Probe implements wirepb.DRPCSideServer.
func (g *guarded) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	g.served.Add(1)
	return &wirepb.ProbeReply{Revision: 7}, nil
}

// guard serves with key at addr, after edit of the server, until the returned
// function is called or the test ends.
func guard(t *testing.T, key, addr string, edit func(*Server)) (*guarded, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return guardAt(t, key, listener, edit)
}

// guardAt is guard with a listener that is there.
func guardAt(t *testing.T, key string, listener net.Listener, edit func(*Server)) (*guarded, func()) {
	t.Helper()
	g := &guarded{Server: NewServer(key), addr: listener.Addr().String(), refused: make(chan Refusal, 16)}
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

// unhurried lets no handshake end by the time, however slow the machine is.
func unhurried(s *Server) { s.patience = time.Minute }

// newDialer returns a dialer with the same patience.
func newDialer(key string) *Dialer {
	dialer := NewDialer(key)
	dialer.patience = time.Minute
	return dialer
}

// connect opens a bare connection to g and reads the challenge.
func (g *guarded) connect(t *testing.T) (net.Conn, [challengeBytes]byte) {
	t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	var hello [challengeBytes]byte
	_, err = io.ReadFull(conn, hello[:])
	assert.NilError(t, err)
	return conn, hello
}

// assertRefused checks that the client and the server's log were told, with step
// and peer, and that nothing was served.
func (g *guarded) assertRefused(t *testing.T, conn net.Conn) {
	t.Helper()
	var verdict [verdictBytes]byte
	_, err := io.ReadFull(conn, verdict[:])
	assert.NilError(t, err)
	assert.Equal(t, status(verdict[0]), statusWrongKey)
	_, err = conn.Read(verdict[:])
	assert.ErrorIs(t, err, io.EOF)
	g.assertReported(t, conn.LocalAddr().String(), "does not hold this fleet's key")
}

// assertReported checks what was told of a refused connection from peer.
func (g *guarded) assertReported(t *testing.T, peer, detail string) {
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
		g, _ := guard(t, keys[0], "127.0.0.1:0", unhurried)
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

func TestTheKeyNeverCrosses(t *testing.T) {
	g, _ := guard(t, fleetKey, "127.0.0.1:0", unhurried)
	conn, hello := g.connect(t)
	sent := proofFor(nonce(hello[1:]), newNonce())

	_, err := conn.Write(sent)
	assert.NilError(t, err)
	var verdict [verdictBytes]byte
	_, err = io.ReadFull(conn, verdict[:])
	assert.NilError(t, err)

	assert.Equal(t, status(verdict[0]), statusGood)
	for _, message := range [][]byte{hello[:], sent, verdict[:]} {
		assert.Assert(t, !contains(message, fleetKey))
	}
}

// proofFor returns the answer of a client that holds the key.
func proofFor(server, client nonce) []byte {
	return append(client[:], prove(fleetKey, roleClient, server, client)...)
}

// contains tells whether text is part of message.
func contains(message []byte, text string) bool {
	for i := range message {
		if len(message)-i >= len(text) && string(message[i:i+len(text)]) == text {
			return true
		}
	}
	return false
}

func TestAReplayedAnswerIsRefused(t *testing.T) {
	g, _ := guard(t, fleetKey, "127.0.0.1:0", unhurried)
	first, hello := g.connect(t)
	recorded := proofFor(nonce(hello[1:]), newNonce())
	_, err := first.Write(recorded)
	assert.NilError(t, err)
	var verdict [verdictBytes]byte
	_, err = io.ReadFull(first, verdict[:])
	assert.NilError(t, err)
	assert.Equal(t, status(verdict[0]), statusGood)

	second, again := g.connect(t)
	assert.Assert(t, again != hello)
	_, err = second.Write(recorded)
	assert.NilError(t, err)

	g.assertRefused(t, second)
}

func TestTheServersProofIsNoAnswer(t *testing.T) {
	g, _ := guard(t, fleetKey, "127.0.0.1:0", unhurried)
	conn, hello := g.connect(t)
	server, client := nonce(hello[1:]), newNonce()

	_, err := conn.Write(append(client[:], prove(fleetKey, roleServer, server, client)...))
	assert.NilError(t, err)

	g.assertRefused(t, conn)
}

func TestNothingIsServedBeforeTheHandshake(t *testing.T) {
	g, _ := guard(t, fleetKey, "127.0.0.1:0", unhurried)
	bare, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	conn := drpcconn.New(bare)

	// The call may go out whole, or the server's challenge may end it before that.
	_, err = wirepb.NewDRPCSideClient(conn).Probe(t.Context(), &wirepb.ProbeRequest{PrefixHash: 1})

	assert.Assert(t, err != nil)
	_ = conn.Close()
	g.assertReported(t, bare.LocalAddr().String(), "")
}

func TestAConnectionThatStallsIsClosed(t *testing.T) {
	for _, sent := range []int{0, 1, answerBytes - 1} {
		g, _ := guard(t, fleetKey, "127.0.0.1:0", func(s *Server) { s.patience = 20 * time.Millisecond })
		conn, hello := g.connect(t)
		_, _ = conn.Write(proofFor(nonce(hello[1:]), newNonce())[:sent])

		_, err := io.Copy(io.Discard, conn)

		// The server has closed it, maybe before all was written.
		assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
		g.assertReported(t, conn.LocalAddr().String(), "deadline exceeded")
	}
}

func TestTooManyHandshakesAreRefusedAndEnd(t *testing.T) {
	g, _ := guard(t, fleetKey, "127.0.0.1:0", func(s *Server) {
		unhurried(s)
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
		_, _ = conn.Write(refusal(statusGood, challengeBytes))
		_, _ = io.CopyN(io.Discard, conn, answerBytes)
		_, _ = conn.Write(refusal(statusGood, verdictBytes))
		rest, _ := io.ReadAll(conn)
		got <- rest
	}()

	err = probe(t.Context(), newDialer(fleetKey), listener.Addr().String())

	assert.ErrorContains(t, err, "the server does not hold this fleet's key")
	assert.Equal(t, len(<-got), 0)
}

func TestASilentServerIsLeftWhenTheCallerGivesUp(t *testing.T) {
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

func TestEachConnectionIsCheckedAlsoBehindAPooledOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held, err := listener.(*net.TCPListener).File() // so that nobody else gets the port in between
	assert.NilError(t, err)
	defer held.Close()
	first, stop := guardAt(t, fleetKey, listener, unhurried)
	dialer := newDialer(fleetKey)
	defer dialer.Close()
	assert.NilError(t, probe(t.Context(), dialer, first.addr))
	assert.NilError(t, probe(t.Context(), dialer, first.addr))
	stop()

	again, err := net.FileListener(held)
	assert.NilError(t, err)
	second, _ := guardAt(t, "a new key", again, unhurried)
	for err == nil || !errors.As(err, new(*fault.Error)) {
		err = probe(t.Context(), dialer, first.addr)
	}

	assert.ErrorContains(t, err, "the server refuses this process's key")
	assert.Equal(t, second.served.Load(), int64(0))
}
