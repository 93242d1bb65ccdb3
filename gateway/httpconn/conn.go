package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's buffer in bytes: an answer of a plain
// service, or a score of stream events, in one read.
const readBuffer = 4096

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// until is when an idle connection may no longer be used.
	until time.Time
}

// newConn returns an open connection.
func newConn(opened net.Conn, addr string) *conn {
	return &conn{Conn: opened, addr: addr, reader: bufio.NewReaderSize(opened, readBuffer)}
}

// close closes the connection. A failure to close changes nothing: the connection is
// not used again.
func (c *conn) close() { _ = c.Conn.Close() }

// expired tells whether an idle connection is near the upstream's own limit.
func (c *conn) expired(now time.Time) bool { return !now.Before(c.until) }

// usable tells whether an idle connection is open and has nothing to read: bytes
// that come while no request is open belong to none.
func (c *conn) usable(now time.Time) bool {
	if c.expired(now) || c.reader.Buffered() > 0 {
		return false
	}
	return c.quiet()
}

// quiet looks, without waiting, whether there is neither a byte nor an end to read.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peeked == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
