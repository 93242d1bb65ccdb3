// Package httpconn sends requests to upstreams over kept connections. It stands in
// place of net/http's Transport, whose parser and writer it uses, for three reasons:
// the Transport sends some requests again by itself when a kept connection dies; it
// does not tell whether a byte of a request has left; and it hands out answers that
// belong to an earlier request of the connection. Here nothing is sent twice, every
// error tells whether the request may have run, and an answer that does not echo the
// request is never handed out.
package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"acaciawinch/core/fault"
)

// Limits of connections.
const (
	// dialTimeout bounds the opening of a connection; a machine that is up answers
	// within two round trips, some 10 ms.
	dialTimeout = 700 * time.Millisecond
	// probeAfter and probeTimes find a connection whose other end is gone without a
	// word, within probeAfter × (probeTimes + 1).
	probeAfter = time.Second
	probeTimes = 2
	// unackedLimit ends a connection on which sent bytes stay unacknowledged.
	unackedLimit = 2500 * time.Millisecond
	// idleMargin is how much earlier than the upstream an idle connection is given
	// up, so that a request does not cross its close.
	idleMargin = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept if the upstream does not say.
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
	// ID must be echoed by the answer; empty if no echo is due.
	ID string
	// Wanted tells, once a connection is open, whether the request is still to be sent: opening
	// one may take long, and meanwhile the upstream may have asked for nothing more. Nil sends it.
	Wanted func() bool
}

// Client keeps connections to upstreams. It may be used by many goroutines.
type Client struct {
	// Echo returns the request that an answer names.
	echo func(status int, h http.Header) Echo

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// Echo is what an answer's head says about whose it is and how its connection goes on.
type Echo struct {
	// ID names the request; empty if the answer names none.
	ID string
	// NotRun is set if the upstream says that it did not run the request. Such an
	// answer need not name the request.
	NotRun bool
	// Idle is how long the upstream keeps the connection; 0 if it does not say.
	Idle time.Duration
}

// New returns a Client that reads the heads of answers with echo.
func New(echo func(status int, h http.Header) Echo) *Client {
	return &Client{echo: echo, idle: make(map[string][]*conn)}
}

// take returns an idle connection that is still good, or opens one.
func (c *Client) take(ctx context.Context, addr string) (*conn, error) {
	for {
		kept := c.pop(addr)
		if kept == nil {
			return c.open(ctx, addr)
		}
		if kept.usable(time.Now()) {
			return kept, nil
		}
		kept.close()
	}
}

// pop removes and returns the idle connection that was used last, or nil.
func (c *Client) pop(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[addr] = list[:len(list)-1]
	return last
}

// put keeps a connection for the next request.
func (c *Client) put(kept *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		kept.close()
		return
	}
	c.idle[kept.addr] = append(c.idle[kept.addr], kept)
}

// open opens a connection. Its errors have code Unavailable: nothing was sent.
func (c *Client) open(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probeTimes},
		Control:         limitUnacked,
	}
	opened, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "upstream.dial", addr, err)
	}
	return newConn(opened, addr), nil
}

// acceptedFor is how long a connection must stay open to show that the other end serves it: what
// stands before an upstream that has ended takes connections and closes them at once.
const acceptedFor = 100 * time.Millisecond

// Listens tells whether an address takes a new connection and keeps it. One that it takes is
// kept for the next request.
func (c *Client) Listens(ctx context.Context, addr string) bool {
	opened, err := c.open(ctx, addr)
	if err != nil {
		return false
	}
	settle := time.NewTimer(acceptedFor)
	defer settle.Stop()
	select {
	case <-ctx.Done():
		opened.close()
		return false
	case <-settle.C:
	}
	if !opened.quiet() {
		opened.close()
		return false
	}
	c.giveBack(opened)
	return true
}

// giveBack keeps a connection on which nothing was sent. One that was just opened has no word of
// the upstream on how long it may be idle.
func (c *Client) giveBack(unused *conn) {
	if unused.until.IsZero() {
		unused.until = time.Now().Add(defaultIdle - idleMargin)
	}
	c.put(unused)
}

// limitUnacked sets the time after which a connection with unacknowledged bytes ends.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Sweep closes the idle connections that may no longer be used.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, one := range list {
			if one.expired(now) {
				one.close()
				continue
			}
			kept = append(kept, one)
		}
		clear(list[len(kept):])
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// Close closes the idle connections; those in use are closed when they come back.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, one := range list {
			one.close()
		}
	}
	c.idle = make(map[string][]*conn)
}
