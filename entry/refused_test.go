package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"acaciawinch/observe"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// TestARefusedConnectionIsLogged connects with another fleet key.
func TestARefusedConnectionIsLogged(t *testing.T) {
	p, err := newProcess(testSettings(t))
	assert.NilError(t, err)
	defer p.close()
	log, out := io.Pipe()
	p.logger, err = observe.NewLogger(out, "e", "warn")
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- p.rpc.Serve(ctx, listener) }()
	defer func() { stop(); assert.NilError(t, <-served) }()

	conn := link.NewDialer("another").Conn(ctx, listener.Addr().String())
	_, err = wirepb.NewDRPCEntryClient(conn).Lookup(ctx, &wirepb.LookupRequest{})
	assert.ErrorContains(t, err, "refuses this process's key")

	line, err := bufio.NewReader(log).ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, cmp.Regexp(`"error":"refused at link.handshake with .*"event":9001.*"peer":"127.0.0.1:`, line))
}
