package link

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"storj.io/drpc"
)

// servicePrefix begins the name of every call of the fleet's services. It is omitted on
// the wire.
const servicePrefix = "/acaciawinch.wire."

// shortName returns the name of a call as it is sent.
func shortName(rpc string) string { return strings.TrimPrefix(rpc, servicePrefix) }

// fullName returns the full name of a call that was sent as name.
func fullName(name string) string {
	if strings.HasPrefix(name, "/") {
		return name
	}
	return servicePrefix + name
}

// isUnary reports whether a call has exactly one request and one reply.
func isUnary(rpc string) bool {
	name := strings.ReplaceAll(strings.TrimPrefix(rpc, "/"), "/", ".")
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(name))
	if err != nil {
		return false
	}
	method, ok := found.(protoreflect.MethodDescriptor)
	return ok && !method.IsStreamingClient() && !method.IsStreamingServer()
}

// flusher is a stream that can buffer what it sends until its end, as drpc's stream
// can.
type flusher interface {
	SetManualFlush(manual bool)
}

// handler serves calls under their full names. It buffers the reply of a unary call until
// the end of the stream follows, so that both are sent in one write and mostly in one
// segment.
type handler struct {
	next drpc.Handler
	// received is called when a message was received; the end of the connection reports one over the limit.
	received func()
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, name string) error {
	rpc := fullName(name)
	if buffered, ok := stream.(flusher); ok && isUnary(rpc) {
		buffered.SetManualFlush(true)
	}
	return h.next.HandleRPC(limitedStream{Stream: stream, report: func() {}, received: h.received}, rpc)
}
