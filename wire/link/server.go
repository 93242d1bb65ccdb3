package link

import (
	"context"
	"crypto/subtle"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"acaciawinch/core/fault"
)

// Server serves drpc calls that carry the fleet's key.
type Server struct {
	key     string
	mux     *drpcmux.Mux
	traffic Traffic
}

// NewServer returns a Server without services.
func NewServer(key string) *Server {
	return &Server{key: key, mux: drpcmux.New()}
}

// Mux returns where services are registered, by the generated DRPCRegister
// functions, before Serve is called.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Traffic returns the bytes of all accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections until ctx ends. It closes listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.New(keyCheck{key: s.key, next: s.mux})
	return server.Serve(ctx, countedListener{Listener: listener, traffic: &s.traffic})
}

// keyCheck refuses calls without the fleet's key.
type keyCheck struct {
	key  string
	next drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h keyCheck) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	if subtle.ConstantTimeCompare([]byte(metadata[keyField]), []byte(h.key)) != 1 {
		return fault.New(fault.Invalid, "link.key", rpc, "the call does not carry this fleet's key")
	}
	return h.next.HandleRPC(stream, rpc)
}
