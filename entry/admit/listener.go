package admit

import (
	"net"
	"sync"
)

// LimitListener returns a listener that keeps at most n connections open; further ones
// wait in the accept queue of the operating system.
func LimitListener(listener net.Listener, n int) net.Listener {
	return &limitListener{Listener: listener, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// limitListener acquires a slot before it accepts a connection.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
