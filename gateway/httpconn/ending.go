package httpconn

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file decides whether the end of a connection ends a response that has neither a length nor chunks.
//
// A connection reports an error once, to the writer or the reader, whichever asks first; after that its end looks
// orderly. And an upstream that closes its connection before it has received the whole request resets it: what
// it sent last may be lost. So the end counts only if
//
//   - the request was written completely and without an error,
//   - the upstream had acknowledged all of it, and
//   - the connection was not reset, and has not failed otherwise.

// tcpClosed is the state of a connection that was reset or has failed. One that the peer closed in order stays half
// open until it is closed here too.
const tcpClosed = 7

// endsInOrder reports whether the end of the connection, which was read, ends a response in order. Nothing can be
// written afterwards.
func (c *conn) endsInOrder(writer *requestWriter) bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits; if it fails, the write ends with the connection
	<-writer.done
	return writer.err == nil && !c.hasFailed()
}

// hasFailed reports whether the connection was reset, has failed, or holds bytes that the peer has not
// acknowledged. If the system does not tell, it has not failed.
func (c *conn) hasFailed() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true // it is closed
	}
	failed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err == nil && (info.State == tcpClosed || info.Unacked > 0 || info.Notsent_bytes > 0)
	})
	return failed || err != nil
}

// errBrokenOff reports that an upstream closed its connection before the end of its response was certain.
var errBrokenOff = fmt.Errorf("the connection ended before the whole request was received, or was reset: %w", io.ErrUnexpectedEOF)
