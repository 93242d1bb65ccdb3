package link

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"acaciawinch/wire/wirepb"
)

// TestAnEndlessMessageClosesItsConnection guards against a gateway that takes the memory of another one by a message
// without end.
func TestAnEndlessMessageClosesItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	closed := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if NewServer(fleetKey).handshake(context.Background(), conn) != nil {
			return
		}
		sent, block := 0, make([]byte, 64<<10)
		frame := drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: block}
		for bytes := drpcwire.AppendFrame(nil, frame); err == nil; {
			var n int
			n, err = conn.Write(bytes)
			sent += n
		}
		closed <- sent
	}()
	dialer := NewDialer(fleetKey)
	defer func() { _ = dialer.Close() }()
	var reported []string
	dialer.OnOverLimit(func(addr string) { reported = append(reported, addr) })
	address := listener.Addr().String()
	_, err = wirepb.NewDRPCSideClient(dialer.Conn(t.Context(), address)).Probe(t.Context(), &wirepb.ProbeRequest{})
	assert.Assert(t, isOverLimit(err), "%v", err)
	assert.DeepEqual(t, reported, []string{address})
	assert.Assert(t, <-closed < 8*MaxMessageBytes)
}
