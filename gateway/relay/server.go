package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/proof"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// Timing of updates to followers.
const (
	// heartbeatInterval is the longest time between two updates: half of the time after which a
	// follower gives up a silent source.
	heartbeatInterval = 750 * time.Millisecond
	// minProofAdvance is how much newer a proof must be to be sent in a message of its own.
	minProofAdvance = 300 * time.Millisecond
)

// State is the state that a Server passes on. view.View implements it.
type State interface {
	DeltasSince(positions []view.Position) ([]view.KindDelta, view.Proof, bool)
	Changed() <-chan struct{}
	StoreFailing() bool
}

// Server sends this process's state to followers. It is safe for concurrent use.
type Server struct {
	wirepb.DRPCFleetUnimplementedServer
	state     State
	logger    *observe.Logger
	packer    *packer
	followers atomic.Int64
	// gauge shows the number of followers.
	gauge tally.Gauge
}

// NewServer returns a Server for a state.
func NewServer(state State, logger *observe.Logger, scope tally.Scope) *Server {
	return &Server{state: state, logger: logger, packer: newPacker(), gauge: scope.Gauge("followers")}
}

// addFollowers changes the number of followers.
func (s *Server) addFollowers(delta int64) { s.gauge.Update(float64(s.followers.Add(delta))) }

// Follow implements wirepb.DRPCFleetServer.
func (s *Server) Follow(stream wirepb.DRPCFleet_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	start := clock.Boot()
	f := &session{server: s, stream: stream, positions: positionsOf(first.GetPositions())}
	f.received(first)
	s.addFollowers(1)
	defer s.addFollowers(-1)
	s.logger.Event(event.FollowerCame, observe.Fields{"peer": first.GetName()})
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go f.sendUpdates(ctx, cancel)
	err = f.receiveRequests()
	s.logger.Event(event.FollowerLeft, observe.Fields{"peer": first.GetName(), "after_ms": (clock.Boot() - start).Milliseconds(), "error": err.Error()})
	return nil // a stream normally ends when the follower closes it
}

// session is the connection of one follower.
type session struct {
	server *Server
	stream wirepb.DRPCFleet_FollowStream
	// positions are the revisions of the follower's copies after what was sent. Only
	// sendUpdates uses them.
	positions []view.Position

	mu     sync.Mutex
	source proof.Source
}

// receiveRequests reads the follower's requests until the stream ends.
func (f *session) receiveRequests() error {
	for {
		request, err := f.stream.Recv()
		if err != nil {
			return err
		}
		f.received(request)
	}
}

// received notes a request. Its time is taken after it has arrived.
func (f *session) received(request *wirepb.FollowRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source.Received(request.GetNumber(), clock.Boot())
}

// proofReport returns the time of a proof relative to the follower's last request.
func (f *session) proofReport(proved time.Duration) proof.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source.Report(proved)
}

// sendUpdates sends what the follower lacks until ctx ends or the stream breaks.
func (f *session) sendUpdates(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	var sent view.Proof
	due, sentFailing := true, false
	for {
		changed := f.server.state.Changed()
		failing := f.server.state.StoreFailing()
		deltas, proved, known := f.server.state.DeltasSince(f.positions)
		if due || failing != sentFailing || hasChanges(deltas) || known && proved.At-sent.At >= minProofAdvance {
			if err := f.send(deltas, proved, known, failing); err != nil {
				return // the follower is gone; receiveRequests ends as well
			}
			sent, due, sentFailing = proved, false, failing
			heartbeat.Reset(heartbeatInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
			due = true
		}
	}
}

// hasChanges reports whether deltas hold more than a newer revision.
func hasChanges(deltas []view.KindDelta) bool {
	for _, d := range deltas {
		if d.Reset || len(d.Changes) > 0 {
			return true
		}
	}
	return false
}

// send sends what the follower lacks and advances its positions. Large changes go first, in
// pieces; the proof goes last, as it covers everything sent before it.
func (f *session) send(deltas []view.KindDelta, proved view.Proof, known, failing bool) error {
	last := &wirepb.FollowUpdate{Failing: failing}
	for _, d := range deltas {
		if !worthPacking(d) {
			last.Deltas = append(last.Deltas, deltaMessage(d))
		} else if err := f.sendLong(d); err != nil {
			return err
		}
		f.setPosition(d.Kind, d.Revision)
	}
	if known {
		last.Proof = proofMessage(f.proofReport(proved.At), proved.Hops)
	}
	return f.stream.Send(last)
}

// sendLong sends large changes in pieces.
func (f *session) sendLong(d view.KindDelta) error {
	pieces, err := f.server.packer.pieces(d)
	if err != nil {
		return err
	}
	for _, piece := range pieces {
		if err := f.stream.Send(&wirepb.FollowUpdate{Deltas: []*wirepb.FollowDelta{piece}}); err != nil {
			return err
		}
	}
	return nil
}

// setPosition records the revision of a follower's copy.
func (f *session) setPosition(kind string, revision int64) {
	for i := range f.positions {
		if f.positions[i].Kind == kind {
			f.positions[i].Revision = revision
		}
	}
}
