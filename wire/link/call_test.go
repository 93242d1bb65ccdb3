package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"

	"acaciawinch/core/fault"
	"acaciawinch/wire/wirepb"
)

// writes counts the writes of the connections that it accepts.
type writes struct {
	net.Listener
	count atomic.Int64
}

// Accept implements net.Listener.
func (w *writes) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return writing{conn, w}, err
}

// writing is a connection whose writes are counted.
type writing struct {
	net.Conn
	all *writes
}

// Write implements net.Conn.
func (w writing) Write(p []byte) (int, error) {
	w.all.count.Add(1)
	return w.Conn.Write(p)
}

// streaming answers probes, and runs with three events.
type streaming struct {
	wirepb.DRPCSideUnimplementedServer
	// next lets the next event of a run go.
	next chan struct{}
}

// Probe implements wirepb.DRPCSideServer.
func (*streaming) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	return &wirepb.ProbeReply{Revision: 7}, nil
}

// Drain implements wirepb.DRPCSideServer.
func (*streaming) Drain(context.Context, *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	return nil, fault.New(fault.Refused, "side.drain", "u1", "not now")
}

// Run implements wirepb.DRPCSideServer.
func (s *streaming) Run(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	for index := range 3 {
		<-s.next
		chunk := &wirepb.Chunk{Index: uint64(index)}
		if err := stream.Send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return nil
}

// stream serves s on loopback until the test ends.
func stream(t testing.TB, s *streaming) *writes {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := &writes{Listener: listener}
	server := NewServer(fleetKey)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), s))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, counted) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
	return counted
}

// benchmarked serves probes and returns the address.
func benchmarked(b *testing.B) string { return stream(b, &streaming{}).Addr().String() }

func TestAProbeIsTwoWritesWithoutKeyAndPackageName(t *testing.T) {
	const (
		handshakeWrites = 2
		frame           = 4
		request         = frame + len("Side/Probe") + frame + frame // name, empty message, end
		reply           = frame + 2 + frame                         // revision, end
	)
	listener := stream(t, &streaming{})
	bare, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, answer(bare, fleetKey))
	var own writes
	var traffic Traffic
	conn := callConn{drpcconn.New(countedConn{writing{bare, &own}, &traffic})}
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

func TestEachEventOfAStreamLeavesAtOnce(t *testing.T) {
	side := &streaming{next: make(chan struct{})}
	listener := stream(t, side)
	dialer := NewDialer(fleetKey)
	defer dialer.Close()
	run, err := wirepb.NewDRPCSideClient(dialer.Conn(t.Context(), listener.Addr().String())).Run(t.Context(), &wirepb.RunRequest{})
	assert.NilError(t, err)
	defer run.Close()
	for index := range uint64(3) {
		side.next <- struct{}{} // The next one is not let go before this one has come.
		event, err := run.Recv()
		assert.NilError(t, err)
		assert.Equal(t, event.GetChunk().GetIndex(), index)
	}
}

func TestTheErrorOfACallArrives(t *testing.T) {
	listener := stream(t, &streaming{})
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
		assert.Equal(t, unary(rpc), want, rpc)
	}
}
