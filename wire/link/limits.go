package link

import (
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// MaxMessageBytes bounds a message from the other end. A longer one closes the connection, so that a peer which sends
// without end takes no more memory than that.
const MaxMessageBytes = 4 << 20

// managerOptions are the options of both ends of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// newConn returns the client's end of a connection.
func newConn(transport drpc.Transport) *drpcconn.Conn {
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
}

// newCalls returns the server's end of connections.
func newCalls(next drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(next, drpcserver.Options{Manager: managerOptions()})
}

// longMessage is a part of the error that drpc returns for a message over its limit.
const longMessage = "data overflow"

// isOverLimit reports whether a connection ended because of a message over MaxMessageBytes.
func isOverLimit(err error) bool { return err != nil && strings.Contains(err.Error(), longMessage) }

// limitedStream is a stream that reports each message, and one over the limit.
type limitedStream struct {
	drpc.Stream
	report, received func()
}

// MsgRecv implements drpc.Stream.
func (s limitedStream) MsgRecv(message drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, enc)
	s.received()
	if isOverLimit(err) {
		s.report()
	}
	return err
}
