package link

import (
	"context"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/memory"
	"acaciawinch/wire/wirepb"
)

// serveBounded serves s with a budget until the test ends, and returns the address.
func serveBounded(t *testing.T, budget *memory.Budget, s *sideServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(fleetKey)
	server.UseMemory(budget)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), s))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
	return listener.Addr().String()
}

// TestAMessageWithoutRoomEndsItsConnection guards against peers that together send more than the process may hold: a
// message is bounded by the budget while it comes in, and returns its memory once it was received.
func TestAMessageWithoutRoomEndsItsConnection(t *testing.T) {
	listener := startSide(t, &sideServer{})
	dialer := NewDialer(fleetKey)
	defer dialer.Close()
	budget := memory.New(1 << 20)
	bounded := serveBounded(t, budget, &sideServer{})
	probe := func(addr string, size int) error {
		_, err := wirepb.NewDRPCSideClient(dialer.Conn(t.Context(), addr)).Drain(t.Context(), &wirepb.DrainRequest{Reason: strings.Repeat("x", size)})
		return err
	}
	assert.ErrorContains(t, probe(listener.Addr().String(), 3<<20), "not now")
	for range 3 {
		assert.ErrorContains(t, probe(bounded, 512<<10), "not now")
	}
	assert.Assert(t, budget.Usage().Peak > 0 && budget.Usage().Used == 0)
	err := probe(bounded, 3<<20)
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "not now"), "%v", err)
	assert.ErrorContains(t, probe(bounded, 512<<10), "not now")
	assert.Assert(t, budget.Usage().Peak <= 1<<20)
}
