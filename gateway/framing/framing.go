// Package framing detects requests whose head gives their body two lengths: a
// Content-Length and a Transfer-Encoding. net/http's server accepts such a request and
// ignores the Content-Length. A proxy in front of it may see the end of the body elsewhere,
// and then treats the bytes in between as a second request that no client sent (request
// smuggling). The package also tells clients of broken responses whose end only the connection marks.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxHeadBytes bounds how much of a head is inspected. It exceeds the server's own limit.
const maxHeadBytes = 40 << 10

// Listener accepts connections on which request heads are inspected.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, inHead: true}, nil
}

// conn inspects the head of each request. It does not see the head of a pipelined request,
// which arrives before the response to the previous one. net/http reads such a request by the
// same rules, so that it is still one request and never two.
type conn struct {
	net.Conn

	mu        sync.Mutex
	inHead    bool
	head      []byte
	ambiguous bool

	// drains is set if Close must let the last response end in order.
	drains atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead && n > 0 {
		c.scan(p[:n])
	}
	return n, err
}

// scan processes a part of a head. c.mu must be held.
func (c *conn) scan(part []byte) {
	c.head = append(c.head, part...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		end = bytes.Index(c.head, []byte("\n\n"))
	}
	if end < 0 && len(c.head) < maxHeadBytes {
		return
	}
	if end < 0 {
		end = len(c.head)
	}
	c.ambiguous = hasLine(c.head[:end], "\ntransfer-encoding") && hasLine(c.head[:end], "\ncontent-length")
	c.inHead = false
	c.head = nil
}

// hasLine reports whether a head contains s, a newline followed by a header name in lower case.
// The case of the head is ignored.
func hasLine(head []byte, s string) bool { return bytes.Contains(bytes.ToLower(head), []byte(s)) }

// nextRequest prepares for the head of the next request.
func (c *conn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.ambiguous, c.head = true, false, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Enable makes a server inspect request heads on the connections of a Listener.
func Enable(server *http.Server) {
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*conn); ok && state == http.StateIdle {
			c.nextRequest()
		}
	}
}

// Ambiguous reports whether the head of a request gives its body two lengths.
func Ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous
}
