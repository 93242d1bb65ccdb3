// Package framing is what a gateway's server does below net/http. It reserves memory for connections and
// heads before it reads them, and detects requests whose head gives their body two lengths: a
// Content-Length and a Transfer-Encoding. net/http's server accepts such a request and
// ignores the Content-Length. A proxy in front of it may see the end of the body elsewhere,
// and then treats the bytes in between as a second request that no client sent (request
// smuggling). The package also tells clients of broken responses whose end only the connection marks.
package framing

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/memory"
)

// maxHeadBytes bounds how much of a head is inspected. It exceeds the server's own limit.
const maxHeadBytes = 40 << 10

// Memory of a connection and its head.
const (
	// connBytes is the memory of a connection and of its request without the body: buffers, stacks and a
	// head of up to freeHeadBytes.
	connBytes     = 24 << 10
	freeHeadBytes = 4 << 10
	// headCopies is how often the bytes of a head are held: as read, in this package, and decoded.
	headCopies = 3
)

// refusal is the response to a connection or head that finds no room. Nothing of a request was read, or
// only a part of its head, so that it has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

const (
	// refusalTimeout bounds the sending of a refusal.
	refusalTimeout = 100 * time.Millisecond
	// maxRefused bounds the refused connections that are read until their client closes them. Others are
	// closed at once, which may reset them before the client has read the refusal.
	maxRefused = 256
)

// refuse sends a refusal.
func refuse(to net.Conn) {
	_ = to.SetWriteDeadline(time.Now().Add(refusalTimeout)) // if it fails, so does the write
	_, _ = io.WriteString(to, refusal)                      // a client that has gone needs none
}

// Listener accepts connections on which request heads are inspected. Memory bounds the connections and
// heads; nil sets no bound.
type Listener struct {
	net.Listener
	Memory *memory.Budget
}

// Accept implements net.Listener. A connection that finds no room is refused and closed.
func (l Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		room := l.Memory.Begin(memory.Tiny)
		if room.Grow(connBytes) == nil {
			return &conn{Conn: accepted, inHead: true, room: room}, nil
		}
		refuse(accepted)
		closeRefused(accepted)
	}
}

// refused counts the refused connections of all listeners that are read until their clients close them.
var refused = make(chan struct{}, maxRefused)

// closeRefused closes a refused connection, in order if few others are being closed.
func closeRefused(accepted net.Conn) {
	select {
	case refused <- struct{}{}:
		_ = closeWhenRead(accepted, func() { <-refused }) // no response follows
	default:
		_ = accepted.Close() // no response follows
	}
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
	// headBytes is how many bytes of the present head were read.
	headBytes int
	// room is the memory of the connection, with that of its head.
	room *memory.Reservation

	// drains is set if Close must let the last response end in order.
	drains atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead || n == 0 {
		return n, err
	}
	if noRoom := c.growHead(n); noRoom != nil {
		refuse(c.Conn)
		c.drains.Store(true)                                                              // the client may still be sending
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: noRoom} // net/http sends nothing after an error of this type
	}
	c.scan(p[:n])
	return n, err
}

// growHead reserves the memory of a part of a head. c.mu must be held.
func (c *conn) growHead(n int) error {
	beyond := func(bytes int) int { return max(0, bytes-freeHeadBytes) }
	more := beyond(c.headBytes+n) - beyond(c.headBytes)
	c.headBytes += n
	return c.room.Grow(int64(headCopies * more))
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
	c.inHead, c.ambiguous, c.head, c.headBytes = true, false, nil, 0
	c.room.Shrink(c.room.Bytes() - connBytes)
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
