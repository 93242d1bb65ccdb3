package tap

import (
	"context"
	"net"
	"sync/atomic"
)

// nearConn is a connection from an entry. It drops bytes while its direction is
// silent.
type nearConn struct {
	net.Conn
	tap *Tap
}

// Read implements net.Conn. Bytes of a silent direction never arrive.
func (c nearConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.tap.silent[ToSide].Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. Bytes of a silent direction vanish.
func (c nearConn) Write(data []byte) (int, error) {
	if c.tap.silent[FromSide].Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// farConn is a connection to the side. It remembers whether it broke, which
// tells a broken connection from an error that the side answered.
type farConn struct {
	net.Conn
	broken *atomic.Bool
}

// Read implements net.Conn.
func (c farConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c farConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// nearKey is the context key of the connection that a call came on.
type nearKey struct{}

// withNear notes the connection that calls come on.
func withNear(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, nearKey{}, conn)
}

// breakNear closes the connection that a call came on: what happened behind the
// tap then looks to the entry as it would without the tap.
func breakNear(ctx context.Context) {
	if conn, ok := ctx.Value(nearKey{}).(net.Conn); ok {
		conn.Close()
	}
}
