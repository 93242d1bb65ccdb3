package link

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
)

// stepDial names the opening of a connection in errors. An error with this step
// proves that no call was sent.
const stepDial = "link.dial"

// Timeout of opening a connection, and limits of the pool of idle ones.
const (
	dialTimeout    = 500 * time.Millisecond
	idleExpiration = 60 * time.Second
	idlePerPeer    = 8
	idleTotal      = 4096
)

// Dialer opens calls to other processes over a pool of connections. It may be
// used by many goroutines.
type Dialer struct {
	key              string
	handshakeTimeout time.Duration
	pool             *drpcpool.Pool[string, drpcpool.Conn]
	traffic          Traffic
	// onOverLimit is called with the address of a peer whose message exceeded MaxMessageBytes.
	onOverLimit func(addr string)
	// memory bounds the messages that come in at the same time; nil sets no bound.
	memory *memory.Budget
}

// NewDialer returns a Dialer that authenticates its connections with key.
func NewDialer(key string) *Dialer {
	return &Dialer{
		key:              key,
		handshakeTimeout: handshakeTimeout,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleTotal,
			KeyCapacity: idlePerPeer,
		}),
	}
}

// Traffic returns the byte counts of all connections that the Dialer opened.
func (d *Dialer) Traffic() *Traffic { return &d.traffic }

// OnOverLimit sets a function to call with the address of a peer whose message exceeded MaxMessageBytes; its
// connection is closed. OnOverLimit must be called before the first call.
func (d *Dialer) OnOverLimit(call func(addr string)) { d.onOverLimit = call }

// UseMemory makes messages reserve their memory in a budget while they come in. It must be called before the first
// call.
func (d *Dialer) UseMemory(budget *memory.Budget) { d.memory = budget }

// overLimit reports a message over MaxMessageBytes.
func (d *Dialer) overLimit(addr string) {
	if d.onOverLimit != nil {
		d.onOverLimit(addr)
	}
}

// Conn returns a connection to addr (IP:port) for use with a generated client.
// Each call takes an idle connection or opens a new one; Conn itself does no I/O.
// A call's context also bounds the opening.
func (d *Dialer) Conn(ctx context.Context, addr string) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// dial opens one connection and makes the handshake. Errors have code Unavailable
// and step "link.dial"; an error of the handshake is wrapped and keeps its own step.
func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	opened, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, stepDial, addr, err)
	}
	return d.HandshakeOver(ctx, opened, addr)
}

// HandshakeOver makes the handshake on an open connection to addr and returns the
// connection for calls, outside of the pool. If the handshake fails, it closes the
// connection and returns the same error as a call that could not be sent.
func (d *Dialer) HandshakeOver(ctx context.Context, opened net.Conn, addr string) (drpcpool.Conn, error) {
	conn := countedConn{Conn: opened, traffic: &d.traffic}
	if err := withTimeout(ctx, conn, d.handshakeTimeout, func() error { return clientHandshake(conn, d.key) }); err != nil {
		_ = conn.Close() // the returned error says more
		return nil, &fault.Error{Code: fault.Unavailable, Step: stepDial, Peer: addr, Err: err}
	}
	return callConn{newConn(newMessageConn(conn, d.memory)), func() { d.overLimit(addr) }}, nil
}
