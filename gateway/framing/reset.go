package framing

import (
	"io"
	"net"
	"net/http"
	"time"

	"acaciawinch/core/fault"
)

// resetOnClose is the linger time in seconds with which the close of a connection is a reset, and
// closeInOrder the one with which it is an orderly end, which is the default.
const (
	resetOnClose = 0
	closeInOrder = -1
)

// lingerer is a connection with a linger time.
type lingerer interface{ SetLinger(seconds int) error }

// ResetOnClose makes every close of a request's connection a reset, also one by the end of this process,
// until EndInOrder is called. It is for responses whose end only the end of the connection marks: an
// orderly end of one that was broken off would make it look complete.
func ResetOnClose(r *http.Request) error { return setLinger(r, resetOnClose) }

// EndInOrder makes the close of a request's connection an orderly end again, also if the client has
// sent more.
func EndInOrder(r *http.Request) error {
	if err := setLinger(r, closeInOrder); err != nil {
		return err
	}
	c, err := connOf(r)
	if err == nil {
		c.drains.Store(true)
	}
	return err
}

// connOf returns the connection of a request.
func connOf(r *http.Request) (*conn, error) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil, fault.New(fault.Internal, "answer.linger", "", "connection is not of a Listener")
	}
	return c, nil
}

// setLinger sets the linger time of a request's connection.
func setLinger(r *http.Request, seconds int) error {
	c, err := connOf(r)
	if err != nil {
		return err
	}
	accepted, ok := c.Conn.(lingerer)
	if !ok {
		return fault.New(fault.Internal, "answer.linger", "", "connection has no linger time")
	}
	return fault.Wrap(fault.Cancelled, "answer.linger", "", accepted.SetLinger(seconds))
}

// drainTime bounds how long a connection is read from after its last response.
const drainTime = 500 * time.Millisecond

// Close implements net.Conn. If the response must end in order, the connection is closed for writing
// first and then read until the client closes it: closing a connection with unread bytes resets it, and
// the end of the response would be lost.
func (c *conn) Close() error {
	if !c.drains.CompareAndSwap(true, false) {
		defer c.room.Release()
		return c.Conn.Close()
	}
	return closeWhenRead(c.Conn, c.room.Release)
}

// closeWhenRead closes a connection for writing, reads it until the client closes it or drainTime has
// passed, and then closes it and calls closed. It does not wait for that.
func closeWhenRead(from net.Conn, closed func()) error {
	writer, ok := from.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil || from.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		defer closed()
		return from.Close()
	}
	go func() {
		defer closed()
		_, _ = io.Copy(io.Discard, from) // whatever ends it, the connection is closed
		_ = from.Close()                 // no response is left to fail
	}()
	return nil
}
