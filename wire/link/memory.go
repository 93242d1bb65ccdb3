package link

import (
	"net"
	"sync"

	"acaciawinch/core/memory"
)

// freeMessageBytes is the part of a message that needs no reservation: most messages are smaller.
const freeMessageBytes = 64 << 10

// messageConn is a connection that reserves the memory of messages while they come in. A message that finds no room
// ends the connection.
type messageConn struct {
	net.Conn
	room *memory.Reservation

	mu sync.Mutex
	// pending is how many bytes were read since the last message was received.
	pending int64
}

// newMessageConn returns a messageConn that reserves in a budget; nil sets no bound.
func newMessageConn(conn net.Conn, budget *memory.Budget) *messageConn {
	return &messageConn{Conn: conn, room: budget.Begin(memory.State)}
}

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending += int64(n)
	if missing := c.pending - freeMessageBytes - c.room.Bytes(); missing > 0 {
		if noRoom := c.room.Grow(missing); noRoom != nil {
			return 0, noRoom
		}
	}
	return n, err
}

// received records that the message that came in was received.
func (c *messageConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = 0
	c.room.Shrink(c.room.Bytes())
}

// Close implements net.Conn.
func (c *messageConn) Close() error {
	c.room.Release()
	return c.Conn.Close()
}
