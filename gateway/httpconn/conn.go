package httpconn

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of a connection's read buffer. One read takes in a
// response of a plain service, or about 20 stream events.
const readBufferBytes = 4096

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// expires is the time after which an idle connection must not be used.
	expires time.Time
	// carried holds the hashes of the IDs of the last requests on the connection; sent is the number
	// of requests with an ID.
	carried [maxCarried]uint64
	sent    int
}

// maxCarried is the number of requests on a connection whose IDs are remembered. A request is sent
// again soon after its first send, and an extra response comes soon after the first one.
const maxCarried = 8

// idSeed is the seed of the hashes of IDs. IDs with equal hashes only cost a new connection.
var idSeed = maphash.MakeSeed()

// hasCarried reports whether one of the last requests on the connection had an ID.
func (c *conn) hasCarried(id string) bool {
	known := c.carried[:min(c.sent, maxCarried)]
	return id != "" && slices.Contains(known, maphash.String(idSeed, id))
}

// carry records the ID of a request that is sent on the connection.
func (c *conn) carry(id string) {
	if id == "" {
		return
	}
	c.carried[c.sent%maxCarried] = maphash.String(idSeed, id)
	c.sent++
}

// newConn wraps an open connection.
func newConn(opened net.Conn, addr string) *conn {
	return &conn{Conn: opened, addr: addr, reader: bufio.NewReaderSize(opened, readBufferBytes)}
}

// close closes the connection. Errors are ignored, as the connection is not used again.
func (c *conn) close() { _ = c.Conn.Close() }

// expired reports whether an idle connection is close to the upstream's idle limit.
func (c *conn) expired(now time.Time) bool { return !now.Before(c.expires) }

// usable reports whether an idle connection is open and has nothing to read: bytes that
// arrive while no request is in flight belong to no request.
func (c *conn) usable(now time.Time) bool {
	if c.expired(now) || c.reader.Buffered() > 0 {
		return false
	}
	return c.nothingToRead()
}

// nothingToRead reports, without blocking, whether neither data nor the end of the connection can
// be read.
func (c *conn) nothingToRead() bool {
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
