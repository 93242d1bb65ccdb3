// Package framing finds requests whose head gives their body two lengths: a
// Content-Length beside a Transfer-Encoding. net/http's server takes such a request
// and drops the Content-Length; a client and a proxy before it may see its end
// elsewhere, and what lies between would be a second request that nobody sent.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxHead bounds how much of a head is looked at, above the server's own limit.
const maxHead = 40 << 10

// Listener accepts connections whose heads are looked at.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, inHead: true}, nil
}

// conn looks at the head of each request. A head that comes before the answer to the
// request before it is not seen: net/http reads it by the same rules, so that it is
// still one request and never two.
type conn struct {
	net.Conn

	mu        sync.Mutex
	inHead    bool
	head      []byte
	ambiguous bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead && n > 0 {
		c.look(p[:n])
	}
	return n, err
}

// look takes in a part of a head. The lock is held.
func (c *conn) look(part []byte) {
	c.head = append(c.head, part...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		end = bytes.Index(c.head, []byte("\n\n"))
	}
	if end < 0 && len(c.head) < maxHead {
		return
	}
	if end < 0 {
		end = len(c.head)
	}
	c.ambiguous = has(c.head[:end], "\ntransfer-encoding") && has(c.head[:end], "\ncontent-length")
	c.inHead = false
	c.head = nil
}

// has tells whether a head has a line that begins with a name, in any case.
func has(head []byte, name string) bool { return bytes.Contains(bytes.ToLower(head), []byte(name)) }

// next begins the next request.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.ambiguous, c.head = true, false, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Watch makes a server look at the heads on connections of a Listener.
func Watch(server *http.Server) {
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*conn); ok && state == http.StateIdle {
			c.next()
		}
	}
}

// Ambiguous tells whether the head of a request gave its body two lengths.
func Ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous
}
