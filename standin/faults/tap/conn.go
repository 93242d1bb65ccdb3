package tap

import (
	"context"
	"net"
	"sync/atomic"
)

// entryConn is a connection from an entry. It drops the bytes of a silenced direction.
type entryConn struct {
	net.Conn
	tap *Tap
}

// Read implements net.Conn. It discards bytes while the direction is silenced.
func (c entryConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.tap.silent[ToSide].Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. It discards bytes while the direction is silenced.
func (c entryConn) Write(data []byte) (int, error) {
	if c.tap.silent[FromSide].Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// sideConn is a connection to the sidecar. It records whether it broke, which
// distinguishes a broken connection from an error that the sidecar returned.
type sideConn struct {
	net.Conn
	broken *atomic.Bool
}

// Read implements net.Conn.
func (c sideConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c sideConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// entryConnKey is the context key of the connection that a call arrived on.
type entryConnKey struct{}

// withEntryConn returns a context that carries the connection that calls arrive on.
func withEntryConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, entryConnKey{}, conn)
}

// breakEntryConn closes the connection that a call arrived on, so that the entry sees a
// failure at the sidecar as it would without the tap.
func breakEntryConn(ctx context.Context) {
	if conn, ok := ctx.Value(entryConnKey{}).(net.Conn); ok {
		conn.Close()
	}
}
