package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// doublingListener accepts connections that can send responses once more.
type doublingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l doublingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &doublingConn{Conn: conn}, nil
}

// doublingConn is a connection that can send responses once more.
type doublingConn struct {
	net.Conn

	mu sync.Mutex
	// last is what was sent since the last request came.
	last []byte
	// atOnce and late are set if last is to be sent again as soon as it is complete, or later.
	atOnce, late bool
	// lateCopy is a response that is to be sent again when another request has come on a connection that was idle
	// for pause; nil for none.
	lateCopy  []byte
	pause     time.Duration
	idleSince time.Time
}

// Write implements net.Conn.
func (c *doublingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.last = append(c.last, p...)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin is called when a request has come. It sends the late copy of an earlier response if takesCopy is set, and reports
// whether it did.
func (c *doublingConn) begin(takesCopy bool) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nil
	if c.lateCopy == nil || !takesCopy || time.Since(c.idleSince) < c.pause {
		return false
	}
	_, _ = c.Conn.Write(c.lateCopy) // a caller that has disconnected needs no response
	c.lateCopy = nil
	return true
}

// end is called when a response is complete. It sends the copy that is due at once.
func (c *doublingConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
	if c.atOnce {
		_, _ = c.Conn.Write(c.last) // a caller that has disconnected needs no response
	}
	if c.late {
		c.lateCopy = c.last
	}
	c.atOnce, c.late = false, false
}

// double makes the response that is being sent come twice.
func (c *doublingConn) double(late bool, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atOnce, c.late, c.pause = c.atOnce || !late, c.late || late, pause
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or one that sends nothing if the worker's handler runs in a server of a test.
func connOf(r *http.Request) *doublingConn {
	if conn, ok := r.Context().Value(connKey{}).(*doublingConn); ok {
		return conn
	}
	return &doublingConn{}
}

// connChanged is called when the state of a connection changes.
func connChanged(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*doublingConn).end()
	}
}

// Doubled returns how many responses were sent twice: those at once, and those after a later request had come.
func (w *Worker) Doubled() (atOnce, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doubledAtOnce, w.doubledLate
}

// doubleResponse applies the faults that double responses to the response of a request.
func (w *Worker) doubleResponse(conn *doublingConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Extra > 0 {
		w.faults.Extra--
		w.doubledAtOnce++
		conn.double(false, 0)
	}
	if w.faults.ExtraLate > 0 {
		w.faults.ExtraLate--
		conn.double(true, w.faults.LateAfter)
	}
}
