package link

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"acaciawinch/core/fault"
)

// callConn is one connection that sends calls under their short names, and a call
// with one request and one reply in one write.
type callConn struct {
	*drpcconn.Conn
}

// Invoke implements drpc.Conn. Unlike drpc's own it waits for the end of the
// stream, which follows the reply in the same write: else it would most often send
// a message to end the stream itself, which costs two segments.
func (c callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	stream, err := c.NewStream(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the reply is there or the error is returned
	if held, ok := stream.(flusher); ok {
		held.SetManualFlush(true)
	}
	if err := stream.MsgSend(in, enc); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if err := stream.MsgRecv(out, enc); err != nil {
		return missing(err, rpc)
	}
	_, _ = stream.(receiver).RawRecv() // only the end of the stream can come
	return nil
}

// receiver is a stream whose messages can be received without decoding; drpc's is
// one.
type receiver interface {
	RawRecv() ([]byte, error)
}

// missing returns err; the end of a stream without a reply is a fault of the peer.
func missing(err error, rpc string) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Internal, "link.call", "", "%s ended without a reply", rpc)
	}
	return err
}

// NewStream implements drpc.Conn.
func (c callConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(ctx, shortName(rpc), enc)
}
