package link

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"storj.io/drpc"
)

// servicePrefix begins the name of every call of the fleet's services. It is left
// out on the wire.
const servicePrefix = "/acaciawinch.wire."

// shortName returns the name of a call as it is sent.
func shortName(rpc string) string { return strings.TrimPrefix(rpc, servicePrefix) }

// fullName returns the name of a call that was sent as name.
func fullName(name string) string {
	if strings.HasPrefix(name, "/") {
		return name
	}
	return servicePrefix + name
}

// unary tells whether a call has one request and one reply.
func unary(rpc string) bool {
	name := strings.ReplaceAll(strings.TrimPrefix(rpc, "/"), "/", ".")
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(name))
	if err != nil {
		return false
	}
	method, ok := found.(protoreflect.MethodDescriptor)
	return ok && !method.IsStreamingClient() && !method.IsStreamingServer()
}

// flusher is a stream that can hold back what it sends until it ends; drpc's is one.
type flusher interface {
	SetManualFlush(manual bool)
}

// handler serves calls under their full names. It holds back the reply of a call
// that has only one until the end of the stream follows, so that both leave in one
// write and most often in one segment.
type handler struct {
	next drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, name string) error {
	rpc := fullName(name)
	if held, ok := stream.(flusher); ok && unary(rpc) {
		held.SetManualFlush(true)
	}
	return h.next.HandleRPC(stream, rpc)
}
