package link

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"acaciawinch/core/fault"
)

// callConn is a connection that sends calls under their short names, and the request of
// a unary call together with the end of the stream in one write.
type callConn struct {
	*drpcconn.Conn
	// onOverLimit is called when a message exceeds its limit.
	onOverLimit func()
}

// received records that a message was received.
func (c callConn) received() {
	if transport, reserves := c.Conn.Transport().(*messageConn); reserves {
		transport.received()
	}
}

// Invoke implements drpc.Conn. Unlike drpc's own Invoke it waits for the end of the
// stream, which follows the reply in the same write. Otherwise this end would mostly send
// a message of its own to end the stream, which costs two segments.
func (c callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	stream, err := c.Conn.NewStream(ctx, shortName(rpc), enc)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the reply has been received, or the error is returned
	if buffered, ok := stream.(flusher); ok {
		buffered.SetManualFlush(true)
	}
	if err := stream.MsgSend(in, enc); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	err = stream.MsgRecv(out, enc)
	c.received()
	if err != nil {
		if isOverLimit(err) {
			c.onOverLimit()
		}
		return noReplyError(err, rpc)
	}
	_, _ = stream.(rawReceiver).RawRecv() // only the end of the stream can follow
	return nil
}

// rawReceiver is a stream that can receive messages without decoding them, as drpc's
// stream can.
type rawReceiver interface {
	RawRecv() ([]byte, error)
}

// noReplyError returns an Internal error if err is the end of a stream without a reply,
// which is a fault of the peer, and err otherwise.
func noReplyError(err error, rpc string) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Internal, "link.call", "", "%s ended without a reply", rpc)
	}
	return err
}

// NewStream implements drpc.Conn.
func (c callConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, shortName(rpc), enc)
	if err != nil {
		return nil, err
	}
	return limitedStream{Stream: stream, report: c.onOverLimit, received: c.received}, nil
}
