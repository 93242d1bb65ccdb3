package link

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"acaciawinch/core/fault"
)

// keyField is the call metadata field that carries the fleet's shared key.
const keyField = "fleet-key"

// Limits of the pool of idle connections.
const (
	dialTimeout    = 500 * time.Millisecond
	idleExpiration = 60 * time.Second
	idlePerPeer    = 8
	idleTotal      = 4096
)

// Dialer opens calls to other processes over a pool of connections. It may be
// used by many goroutines.
type Dialer struct {
	key     string
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	traffic Traffic
}

// NewDialer returns a Dialer whose calls carry key.
func NewDialer(key string) *Dialer {
	return &Dialer{
		key: key,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleTotal,
			KeyCapacity: idlePerPeer,
		}),
	}
}

// Traffic returns the bytes of all connections that the Dialer opened.
func (d *Dialer) Traffic() *Traffic { return &d.traffic }

// Conn returns a connection to addr (IP:port) for use with a generated client.
// Each call takes an idle connection or dials a new one; Conn itself does no I/O.
// A call's context bounds the dialing as well.
func (d *Dialer) Conn(ctx context.Context, addr string) drpc.Conn {
	return keyedConn{Conn: d.pool.Get(ctx, addr, d.dial), key: d.key}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// dial opens one connection. Errors have code Unavailable and step "link.dial".
func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "link.dial", addr, err)
	}
	return drpcconn.New(countedConn{Conn: conn, traffic: &d.traffic}), nil
}

// keyedConn adds the fleet's key to each call.
type keyedConn struct {
	drpc.Conn
	key string
}

// Invoke implements drpc.Conn.
func (c keyedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(drpcmetadata.Add(ctx, keyField, c.key), rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c keyedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(drpcmetadata.Add(ctx, keyField, c.key), rpc, enc)
}
