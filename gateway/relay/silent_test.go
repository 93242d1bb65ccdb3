package relay

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/view"
	wirelink "acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// silentSource sends a number of updates and then nothing, and keeps its connections.
type silentSource struct{ updates int }

// Follow implements wirepb.DRPCFleetServer.
func (s silentSource) Follow(stream wirepb.DRPCFleet_FollowStream) error {
	for range s.updates {
		if err := stream.Send(&wirepb.FollowUpdate{Eras: true}); err != nil {
			return err
		}
	}
	<-stream.Context().Done()
	return nil
}

// TestASilentSourceIsLeft guards against followers that wait for a source whose connection stays open though it sends
// nothing: neither changes nor proofs would reach them.
func TestASilentSourceIsLeft(t *testing.T) {
	for name, updates := range map[string]int{"from the beginning": 0, "after an update": 1} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := wirelink.NewServer("key")
			assert.NilError(t, wirepb.DRPCRegisterFleet(server.Mux(), silentSource{updates}))
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx, listener) }()
			dialer := wirelink.NewDialer("key")
			l := newLink(t, newView(t, replica.Empty))
			l.follower.dialer, l.source = dialer, view.Member{Name: "g1", Address: listener.Addr().String()}
			assert.ErrorContains(t, l.run(t.Context()), "no update received in time")
			assert.NilError(t, dialer.Close())
			cancel()
			assert.NilError(t, <-served)
		})
	}
}
