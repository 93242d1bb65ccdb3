package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/wire/wirepb"
)

// countingListener counts the writes of the connections that it accepts.
type countingListener struct {
	net.Listener
	count atomic.Int64
}

// Accept implements net.Listener.
func (w *countingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return writeCountingConn{conn, w}, err
}

// writeCountingConn is a connection whose writes are counted.
type writeCountingConn struct {
	net.Conn
	listener *countingListener
}

// Write implements net.Conn.
func (w writeCountingConn) Write(p []byte) (int, error) {
	w.listener.count.Add(1)
	return w.Conn.Write(p)
}

// sideServer replies to probes, refuses drains, and streams three events for a run.
type sideServer struct {
	wirepb.DRPCSideUnimplementedServer
	// next releases the next event of a run.
	next chan struct{}
}

// Probe implements wirepb.DRPCSideServer.
func (*sideServer) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	return &wirepb.ProbeReply{Revision: 7}, nil
}

// Drain implements wirepb.DRPCSideServer.
func (*sideServer) Drain(context.Context, *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	return nil, fault.New(fault.Refused, "side.drain", "u1", "not now")
}

// Run implements wirepb.DRPCSideServer.
func (s *sideServer) Run(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	for index := range 3 {
		<-s.next
		chunk := &wirepb.Chunk{Index: uint64(index)}
		if err := stream.Send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return nil
}

// startSide serves s on loopback until the test ends.
func startSide(t testing.TB, s *sideServer) *countingListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := &countingListener{Listener: listener}
	server := NewServer(fleetKey)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), s))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, counted) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
	return counted
}

// startProbeServer serves probes and returns the address.
func startProbeServer(b *testing.B) string { return startSide(b, &sideServer{}).Addr().String() }

func TestAProbeIsTwoWritesAndOmitsThePackageName(t *testing.T) {
	const (
		handshakeWrites = 2
		frame           = 4
		request         = frame + len("Side/Probe") + frame + frame // name, empty message, end
		reply           = frame + 2 + frame                         // revision, end
	)
	listener := startSide(t, &sideServer{})
	bare, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, clientHandshake(bare, fleetKey))
	var own countingListener
	var traffic Traffic
	conn := callConn{newConn(countedConn{writeCountingConn{bare, &own}, &traffic}), func() {}}
	defer conn.Close()
	for calls := range int64(3) {
		_, err := wirepb.NewDRPCSideClient(conn).Probe(t.Context(), &wirepb.ProbeRequest{})
		assert.NilError(t, err)

		assert.Equal(t, own.count.Load(), calls+1)
		assert.Equal(t, listener.count.Load(), handshakeWrites+calls+1)
		assert.Equal(t, traffic.Written(), uint64((calls+1)*int64(request)))
		assert.Equal(t, traffic.Read(), uint64((calls+1)*int64(reply)))
	}
}

func TestEachEventOfAStreamIsSentAtOnce(t *testing.T) {
	side := &sideServer{next: make(chan struct{})}
	listener := startSide(t, side)
	dialer := NewDialer(fleetKey)
	defer dialer.Close()
	run, err := wirepb.NewDRPCSideClient(dialer.Conn(t.Context(), listener.Addr().String())).Run(t.Context(), &wirepb.RunRequest{})
	assert.NilError(t, err)
	defer run.Close()
	for index := range uint64(3) {
		side.next <- struct{}{} // The next event is released only after this one has arrived.
		event, err := run.Recv()
		assert.NilError(t, err)
		assert.Equal(t, event.GetChunk().GetIndex(), index)
	}
}

func TestTheErrorOfACallIsReturnedToTheCaller(t *testing.T) {
	listener := startSide(t, &sideServer{})
	dialer := NewDialer(fleetKey)
	defer dialer.Close()

	_, err := wirepb.NewDRPCSideClient(dialer.Conn(t.Context(), listener.Addr().String())).Drain(t.Context(), &wirepb.DrainRequest{})

	assert.ErrorContains(t, err, "refused at side.drain with u1: not now")
}

func TestNamesAndKindsOfCalls(t *testing.T) {
	assert.Equal(t, shortName("/acaciawinch.wire.Side/Probe"), "Side/Probe")
	for rpc, want := range map[string]bool{
		"/acaciawinch.wire.Side/Probe": true, "/acaciawinch.wire.Side/Run": false,
		"/acaciawinch.wire.Entry/Subscribe": false, "/acaciawinch.wire.Entry/Lookup": true, "/p.S/M": false,
	} {
		assert.Equal(t, fullName(shortName(rpc)), rpc)
		assert.Equal(t, isUnary(rpc), want, rpc)
	}
}
