// Package httpconn sends requests to upstreams over kept-alive connections. It uses the
// parser and writer of net/http, but replaces its Transport, for three reasons: the
// Transport retries some requests by itself when a kept-alive connection fails; it does not
// report whether any byte of a request was sent; and it returns responses that belong to an
// earlier request on the connection. This package never sends a request twice, the code of
// every error shows whether the request may have run, and a response is given to the one call
// that it answers, or its connection is closed (matching.go).
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
	"acaciawinch/core/memory"
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
	// ID is the ID of the client's request, which is in Header already and must be echoed by the response. If it
	// is empty, Do draws an ID. An upstream need not echo that one, but each call to an upstream that does not
	// takes a connection of its own.
	ID string
	// MaxBody bounds the body of the response in bytes; 0 stands for MaxBodyBytes.
	MaxBody int64
	// ShouldSend, if not nil, is called once a connection is open and reports whether the request
	// is still to be sent: opening a connection may take long, and the upstream may meanwhile
	// have asked for backoff or begun to stop.
	ShouldSend func() bool

	// drawn is set if Do has drawn the ID, and oneWay by Notify.
	drawn, oneWay bool
}

// use returns what a connection is used for that carries the request. Whether an upstream echoes drawn IDs
// may depend on the target, and is known only of the targets for which it did.
func (r Request) use() string {
	switch {
	case r.oneWay:
		return notifying
	case r.drawn:
		return r.Target
	default:
		return forwarding
	}
}

// Uses of connections other than the target of a request.
const (
	// forwarding is the use for the requests of clients.
	forwarding = ""
	// notifying is the use for requests whose responses are given to no call.
	notifying = "notify"
)

// ErrWithdrawn reports that ShouldSend withdrew a request; nothing was sent.
var ErrWithdrawn = errors.New("upstream no longer accepts requests")

// Client sends requests to upstreams and keeps idle connections. It is safe for concurrent use.
type Client struct {
	codec Codec
	// onAnomaly is called with each anomaly; it may be nil.
	onAnomaly func(Anomaly)
	// memory bounds the connections and the heads of responses; nil sets no bound.
	memory *memory.Budget

	mu     sync.Mutex
	idle   map[idleKey][]*conn
	closed bool
}

// idleKey is what idle connections are kept by.
type idleKey struct{ addr, use string }

// Codec converts between headers and what the package needs of them.
type Codec struct {
	// SetID sets the ID of a request in its headers.
	SetID func(h http.Header, id string)
	// ReadInfo reads the head of a response.
	ReadInfo func(status int, h http.Header) ResponseInfo
}

// ResponseInfo is what the head of a response says about its request and its connection.
type ResponseInfo struct {
	// ID is the ID of the request; empty if the response has none.
	ID string
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Idle is how long the upstream keeps an idle connection; 0 if it does not say.
	Idle time.Duration
}

// New returns a Client. It calls onAnomaly, which may be nil, for each anomaly of an upstream.
func New(codec Codec, onAnomaly func(Anomaly)) *Client {
	return &Client{codec: codec, onAnomaly: onAnomaly, idle: make(map[idleKey][]*conn)}
}

// UseMemory makes connections and the heads of responses reserve their memory in a budget. It must be
// called before the first request.
func (c *Client) UseMemory(budget *memory.Budget) { c.memory = budget }

// acquire returns a usable idle connection for a request, or opens a new one.
func (c *Client) acquire(ctx context.Context, addr string, r Request) (*conn, error) {
	for {
		kept := c.popIdle(idleKey{addr, r.use()}, r.ID)
		if kept == nil {
			break
		}
		if kept.usable(time.Now()) {
			return kept, nil
		}
		c.drop(kept)
	}
	opened, err := c.dial(ctx, addr)
	if err == nil {
		opened.use = r.use()
	}
	return opened, err
}

// drop closes an idle connection. It reports bytes that came on it.
func (c *Client) drop(kept *conn) {
	if kept.pending() == someBytes {
		c.observe(Anomaly{Address: kept.addr, Kind: Unasked})
	}
	kept.close()
}

// popIdle removes and returns the most recently used idle connection that accepts a request with an ID, or
// nil.
func (c *Client) popIdle(key idleKey, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	for i, kept := range slices.Backward(list) {
		if kept.history.accepts(id) {
			c.idle[key] = slices.Delete(list, i, i+1)
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
	key := idleKey{kept.addr, kept.use}
	c.idle[key] = append(c.idle[key], kept)
}

// dial opens a connection. Its errors have the code Unavailable, as nothing was sent.
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	room := c.memory.Begin(memory.Completion)
	if err := room.Grow(connBytes); err != nil {
		return nil, fault.Wrap(fault.Unavailable, "upstream.dial", addr, err)
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	opened, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		room.Release()
		return nil, fault.Wrap(fault.Unavailable, "upstream.dial", addr, err)
	}
	return newConn(opened, addr, room), nil
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
	if opened.pending() != nothing {
		opened.close()
		return false
	}
	c.release(opened)
	return true
}

// Prepare opens a connection for the next call to a target, unless one is idle. A call to an upstream that echoes no
// IDs needs a new connection, and would otherwise begin a round trip later.
func (c *Client) Prepare(ctx context.Context, addr, target string) {
	if c.hasIdle(idleKey{addr, target}) {
		return
	}
	opened, err := c.dial(ctx, addr)
	if err != nil {
		return // the call opens one itself, or fails for the same reason
	}
	opened.use = target
	c.release(opened)
}

// hasIdle reports whether a connection is idle.
func (c *Client) hasIdle(key idleKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[key]) > 0
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
	for key, list := range c.idle {
		kept := list[:0]
		for _, idle := range list {
			if idle.expired(now) {
				c.drop(idle)
				continue
			}
			kept = append(kept, idle)
		}
		clear(list[len(kept):])
		c.idle[key] = kept
		if len(kept) == 0 {
			delete(c.idle, key)
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
	c.idle = make(map[idleKey][]*conn)
}
