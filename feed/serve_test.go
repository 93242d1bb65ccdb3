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

// recordingStream keeps what is sent, and calls sending before that.
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

func TestAnEntryThatIsNotFedSaysSo(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	stream := &recordingStream{ctx: ended}
	err := staleFeed("e0", config.Empty()).Subscribe(&wirepb.SubscribeRequest{}, stream)
	assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
	assert.Assert(t, stream.sent[0].GetConfig().GetFull(), "its state is sent all the same")
	assert.Assert(t, stream.sent[len(stream.sent)-1].GetHeartbeat())
}

// TestAHeartbeatTogetherWithAChangeIsSent lets both fall into one message's
// sending, often, as a lost one shows by chance only.
func TestAHeartbeatTogetherWithAChangeIsSent(t *testing.T) {
	for range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		feed := staleFeed("e0", config.Empty())
		feed.lastBeat.Store(time.Now().Add(time.Hour).UnixNano())
		stream := &recordingStream{ctx: ctx}
		stream.sending = func(update *wirepb.FleetUpdate) {
			switch {
			case update.GetHosts().GetVersion() == 2:
				cancel()
			case update.GetHeartbeat() && ctx.Err() == nil:
				feed.pulse.send()
				feed.takeHosts(fleet.List{Version: 2}, "test")
			}
		}
		assert.NilError(t, feed.Subscribe(&wirepb.SubscribeRequest{}, stream))
		assert.Assert(t, stream.sent[len(stream.sent)-1].GetHeartbeat())
	}
}
