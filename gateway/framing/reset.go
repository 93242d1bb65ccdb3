package framing

import (
	"net/http"

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

// EndInOrder makes the close of a request's connection an orderly end again.
func EndInOrder(r *http.Request) error { return setLinger(r, closeInOrder) }

// setLinger sets the linger time of a request's connection.
func setLinger(r *http.Request, seconds int) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return fault.New(fault.Internal, "answer.linger", "", "connection is not of a Listener")
	}
	accepted, ok := c.Conn.(lingerer)
	if !ok {
		return fault.New(fault.Internal, "answer.linger", "", "connection has no linger time")
	}
	return fault.Wrap(fault.Cancelled, "answer.linger", "", accepted.SetLinger(seconds))
}
