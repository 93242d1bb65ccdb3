package feed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/wire/wirepb"
)

// recordingStream records what is sent, and then calls sending.
type recordingStream struct {
	wirepb.DRPCEntry_SubscribeStream
	ctx     context.Context
	sent    []*wirepb.FleetUpdate
	sending func(*wirepb.FleetUpdate)
}

// Context implements drpc.Stream.
func (s *recordingStream) Context() context.Context { return s.ctx }

// Send implements wirepb.DRPCEntry_SubscribeStream.
func (s *recordingStream) Send(update *wirepb.FleetUpdate) error {
	s.sent = append(s.sent, update)
	if s.sending != nil {
		s.sending(update)
	}
	return nil
}

func TestAnEntryWithoutALiveFeedEndsTheStream(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	stream := &recordingStream{ctx: ended}
	err := newStaleFeed("e0", config.Empty()).Subscribe(&wirepb.SubscribeRequest{}, stream)
	assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
	assert.Assert(t, stream.sent[0].GetConfig().GetFull(), "its state must be sent before the error")
	assert.Assert(t, stream.sent[len(stream.sent)-1].GetHeartbeat())
}

// TestAHeartbeatTogetherWithAChangeIsSent triggers a heartbeat and a change while one
// message is being sent. It repeats this, since a heartbeat would be lost by chance only.
func TestAHeartbeatTogetherWithAChangeIsSent(t *testing.T) {
	for range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		feed := newStaleFeed("e0", config.Empty())
		feed.lastHeartbeat.Store(time.Now().Add(time.Hour).UnixNano())
		stream := &recordingStream{ctx: ctx}
		stream.sending = func(update *wirepb.FleetUpdate) {
			switch {
			case update.GetHosts().GetVersion() == 2:
				cancel()
			case update.GetHeartbeat() && ctx.Err() == nil:
				feed.heartbeat.send()
				feed.applyHosts(fleet.List{Version: 2}, "test")
			}
		}
		assert.NilError(t, feed.Subscribe(&wirepb.SubscribeRequest{}, stream))
		assert.Assert(t, stream.sent[len(stream.sent)-1].GetHeartbeat())
	}
}
