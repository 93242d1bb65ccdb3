package gatewaytest

import (
	"bufio"
	"net"
	"net/http"
	"strings"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformdoc"
)

// startRaw starts an upstream that passes each connection with the head of its request to serve, which writes what it
// likes, and then closes the connection.
func (f *fleet) startRaw(id, service string, serve func(conn net.Conn, r *http.Request)) {
	f.t.Helper()
	listener, err := f.ports.Listen()
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	handle := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn, r)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	f.store.Put("servers", id, platformdoc.Worker{Service: service, Address: listener.Addr().String(), Zone: "z1", Slots: 8, State: "ready"})
}

// forRequest returns a text in which ID is replaced by the ID of a request.
func forRequest(text string, r *http.Request) string {
	return strings.ReplaceAll(text, "ID", r.Header.Get("X-Attempt-Id"))
}
