// Package httpconn sends requests to upstreams over kept-alive connections. It uses the
// parser and writer of net/http, but replaces its Transport, for three reasons: the
// Transport retries some requests by itself when a kept-alive connection fails; it does not
// report whether any byte of a request was sent; and it returns responses that belong to an
// earlier request on the connection. This package never sends a request twice, the code of
// every error shows whether the request may have run, and a response that does not echo the
// ID of the request is never returned.
package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"acaciawinch/core/fault"
)

// Limits of connections.
const (
	// dialTimeout bounds the opening of a connection. A machine that is up responds within
	// two round trips, about 10 ms.
	dialTimeout = 700 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect a peer that disappeared without closing
	// the connection, within keepAliveInterval × (keepAliveProbes + 1).
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedLimit is the time after which a connection fails if sent bytes stay
	// unacknowledged.
	unackedLimit = 2500 * time.Millisecond
	// idleMargin is how long before the upstream would close an idle connection the client
	// closes it, so that the upstream does not close it while a request is being sent.
	idleMargin = 400 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the upstream sets no limit.
	defaultIdle = 4 * time.Second
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID must be echoed by the response; empty if no echo is expected.
	ID string
	// ShouldSend, if not nil, is called once a connection is open and reports whether the request
	// is still to be sent: opening a connection may take long, and the upstream may meanwhile
	// have asked for backoff or begun to stop.
	ShouldSend func() bool
}

// ErrWithdrawn reports that ShouldSend withdrew a request; nothing was sent.
var ErrWithdrawn = errors.New("upstream no longer accepts requests")

// Client sends requests to upstreams and keeps idle connections. It is safe for concurrent use.
type Client struct {
	// readInfo reads the head of a response.
	readInfo func(status int, h http.Header) ResponseInfo

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// ResponseInfo is what the head of a response says about its request and its connection.
type ResponseInfo struct {
	// ID is the ID of the request; empty if the response has none.
	ID string
	// NotRun is set if the upstream says that it did not run the request. Such a response
	// need not echo the ID.
	NotRun bool
	// Idle is how long the upstream keeps an idle connection; 0 if it does not say.
	Idle time.Duration
}

// New returns a Client that reads the heads of responses with readInfo.
func New(readInfo func(status int, h http.Header) ResponseInfo) *Client {
	return &Client{readInfo: readInfo, idle: make(map[string][]*conn)}
}

// acquire returns a usable idle connection for a request with an ID, or opens a new one. A connection
// that has carried a request with this ID before is not usable: the upstream may send its response to
// that request once more, and nothing would distinguish it from the expected one.
func (c *Client) acquire(ctx context.Context, addr, id string) (*conn, error) {
	for {
		kept := c.popIdle(addr, id)
		if kept == nil {
			return c.dial(ctx, addr)
		}
		if kept.usable(time.Now()) {
			return kept, nil
		}
		kept.close()
	}
}

// popIdle removes and returns the most recently used idle connection that has not carried a request
// with an ID, or nil.
func (c *Client) popIdle(addr, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for i, kept := range slices.Backward(list) {
		if !kept.hasCarried(id) {
			c.idle[addr] = slices.Delete(list, i, i+1)
			return kept
		}
	}
	return nil
}

// putIdle keeps a connection for the next request.
func (c *Client) putIdle(kept *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		kept.close()
		return
	}
	c.idle[kept.addr] = append(c.idle[kept.addr], kept)
}

// dial opens a connection. Its errors have the code Unavailable, as nothing was sent.
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	opened, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "upstream.dial", addr, err)
	}
	return newConn(opened, addr), nil
}

// listenSettleTime is how long a new connection must stay open to show that the upstream is
// running: a proxy in front of an upstream that has ended accepts connections and closes them at
// once.
const listenSettleTime = 100 * time.Millisecond

// Listens reports whether an address accepts a new connection and does not close it. If so, the
// connection is kept for the next request.
func (c *Client) Listens(ctx context.Context, addr string) bool {
	opened, err := c.dial(ctx, addr)
	if err != nil {
		return false
	}
	settle := time.NewTimer(listenSettleTime)
	defer settle.Stop()
	select {
	case <-ctx.Done():
		opened.close()
		return false
	case <-settle.C:
	}
	if !opened.nothingToRead() {
		opened.close()
		return false
	}
	c.release(opened)
	return true
}

// release keeps a connection on which nothing was sent. If it was just opened, the upstream has
// not sent its idle limit yet and defaultIdle applies.
func (c *Client) release(unused *conn) {
	if unused.expires.IsZero() {
		unused.expires = time.Now().Add(defaultIdle - idleMargin)
	}
	c.putIdle(unused)
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection with unacknowledged bytes fails.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Sweep closes the idle connections that have expired.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, idle := range list {
			if idle.expired(now) {
				idle.close()
				continue
			}
			kept = append(kept, idle)
		}
		clear(list[len(kept):])
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// Close closes the idle connections. Those in use are closed when they are released.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, idle := range list {
			idle.close()
		}
	}
	c.idle = make(map[string][]*conn)
}
