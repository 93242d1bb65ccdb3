package flow

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/framing"
)

// recordingConn is a connection that records the order of its writes and linger times.
type recordingConn struct {
	*net.TCPConn
	mu    sync.Mutex
	steps []string
}

// record records one step.
func (c *recordingConn) record(step string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, step)
}

// Write implements net.Conn.
func (c *recordingConn) Write(p []byte) (int, error) {
	c.record("write")
	return c.TCPConn.Write(p)
}

// SetLinger records a linger time.
func (c *recordingConn) SetLinger(seconds int) error {
	if seconds < 0 {
		c.record("end in order")
	}
	return c.TCPConn.SetLinger(seconds)
}

// recordingListener accepts recordingConns and hands them out.
type recordingListener struct {
	net.Listener
	accepted chan *recordingConn
}

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &recordingConn{TCPConn: accepted.(*net.TCPConn)}
	l.accepted <- c
	return c, nil
}

// TestAResponseIsWrittenBeforeItsConnectionMayEndInOrder: if this process ends with a part of the response
// in its buffers, the orderly end of the connection would mark what came before as whole.
func TestAResponseIsWrittenBeforeItsConnectionMayEndInOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan *recordingConn, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := &request{w: w, r: r}
		assert.Check(t, rq.endWithConnection())
		_, err := io.WriteString(w, "whole")
		assert.Check(t, err)
		assert.Check(t, rq.endInOrder())
	})}
	framing.Enable(server)
	go func() { _ = server.Serve(framing.Listener{Listener: recordingListener{listener, accepted}}) }() // it returns when the server is closed
	defer func() { _ = server.Close() }()

	resp, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	c := <-accepted
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, slices.Index(c.steps, "end in order"), len(c.steps)-1, "%v", c.steps)
}
