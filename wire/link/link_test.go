package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// probeServer replies to probes with a fixed revision.
type probeServer struct {
	wirepb.DRPCSideUnimplementedServer
}

// Probe implements wirepb.DRPCSideServer.
func (*probeServer) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	return &wirepb.ProbeReply{Revision: 7}, nil
}

// serve starts a server with key on loopback and returns its address.
func serve(t *testing.T, key string) (*link.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(key)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), &probeServer{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return server, listener.Addr().String()
}

func TestCallWithTheFleetsKeyIsServedAndCounted(t *testing.T) {
	server, addr := serve(t, "k1")
	dialer := link.NewDialer("k1")
	defer func() { assert.NilError(t, dialer.Close()) }()

	client := wirepb.NewDRPCSideClient(dialer.Conn(context.Background(), addr))
	reply, err := client.Probe(context.Background(), &wirepb.ProbeRequest{})

	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(7))
	assert.Assert(t, dialer.Traffic().Written() > 0)
	assert.Assert(t, dialer.Traffic().Read() > 0)
	awaitEqual(t, server.Traffic().Read, dialer.Traffic().Written)
}

// awaitEqual waits until both counts are equal: the last bytes written may still be in
// transit when a call returns.
func awaitEqual(t *testing.T, a, b func() uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a() == b() {
			return poll.Success()
		}
		return poll.Continue("%d and %d bytes", a(), b())
	}, poll.WithDelay(time.Millisecond))
}
