package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"acaciawinch/core/memory"
)

// readBufferBytes is the size of a connection's read buffer. One read takes in a
// response of a plain service, or about 20 stream events.
const readBufferBytes = 4096

// connBytes is the memory of a connection: its buffers, and the stacks of the goroutines that use it.
const connBytes = 16 << 10

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	addr string
	// use is what the connection is used for; see Request.use.
	use    string
	reader *bufio.Reader
	// limited is what reader reads from.
	limited *limitedReader
	// expires is the time after which an idle connection must not be used.
	expires time.Time
	history history
	// room is the memory of the connection, with that of the head of its response.
	room *memory.Reservation
}

// newConn wraps an open connection, which uses the memory that is reserved in room.
func newConn(opened net.Conn, addr string, room *memory.Reservation) *conn {
	limited := &limitedReader{source: opened, remaining: maxHeadBytes, room: room}
	return &conn{room: room, Conn: opened, addr: addr, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited}
}

// close closes the connection. Errors are ignored, as the connection is not used again.
func (c *conn) close() {
	_ = c.Conn.Close()
	c.room.Release()
}

// expired reports whether an idle connection is close to the upstream's idle limit.
func (c *conn) expired(now time.Time) bool { return !now.Before(c.expires) }

// usable reports whether an idle connection is open and has nothing to read: bytes that
// arrive while no request is in flight belong to no request.
func (c *conn) usable(now time.Time) bool {
	return !c.expired(now) && c.pending() == nothing
}

// arrival is what can be read from a connection without blocking.
type arrival int

const (
	nothing arrival = iota
	someBytes
	endOfConnection
)

// pending returns, without blocking, what can be read.
func (c *conn) pending() arrival {
	if c.reader.Buffered() > 0 {
		return someBytes
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return endOfConnection
	}
	found := endOfConnection
	_ = raw.Read(func(fd uintptr) bool { // an error leaves the end of the connection
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			found = nothing
		case n > 0:
			found = someBytes
		}
		return true
	})
	return found
}
