package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of many connections. It may be read at any time.
type Traffic struct {
	read    atomic.Uint64
	written atomic.Uint64
}

// Read returns the bytes received so far.
func (t *Traffic) Read() uint64 { return t.read.Load() }

// Written returns the bytes sent so far.
func (t *Traffic) Written() uint64 { return t.written.Load() }

// countedConn is a connection that adds its bytes to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.read.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.written.Add(uint64(n))
	return n, err
}
