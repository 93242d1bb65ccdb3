package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/fault"
	"acaciawinch/core/proof"
	"acaciawinch/core/replica"
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
	Era() int64
}

// Server sends this process's state to followers. It is safe for concurrent use.
type Server struct {
	wirepb.DRPCFleetUnimplementedServer
	state      State
	logger     *observe.Logger
	compressor *compressor
	followers  atomic.Int64
	// gauge shows the number of followers.
	gauge tally.Gauge
}

// NewServer returns a Server for a state.
func NewServer(state State, logger *observe.Logger, scope tally.Scope) *Server {
	return &Server{state: state, logger: logger, compressor: newCompressor(), gauge: scope.Gauge("followers")}
}

// addFollowers changes the number of followers.
func (s *Server) addFollowers(delta int64) { s.gauge.Update(float64(s.followers.Add(delta))) }

// Follow implements wirepb.DRPCFleetServer: it serves one follower until the stream ends. It refuses a
// follower of an older build, which knows no eras, if the store has them: that follower would ignore the
// lists of a store that has returned from a copy, and count the proofs that come with them.
func (s *Server) Follow(stream wirepb.DRPCFleet_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if era := s.state.Era(); era != 0 && !first.GetEras() {
		s.logger.Event(event.FollowerRefused, observe.Fields{"peer": first.GetName(), "era": era})
		return fault.New(fault.Invalid, "relay.follow", first.GetName(), "the store has eras, which the follower does not know")
	}
	start := clock.Boot()
	follower := &session{server: s, stream: stream, positions: positionsOf(first.GetPositions())}
	follower.received(first)
	s.addFollowers(1)
	defer s.addFollowers(-1)
	s.logger.Event(event.FollowerCame, observe.Fields{"peer": first.GetName()})
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go follower.sendUpdates(ctx, cancel)
	err = follower.receiveRequests()
	s.logger.Event(event.FollowerLeft, observe.Fields{"peer": first.GetName(), "after_ms": (clock.Boot() - start).Milliseconds(), "error": err.Error()})
	return nil // a stream normally ends when the follower closes it
}

// session is the connection of one follower.
type session struct {
	server *Server
	stream wirepb.DRPCFleet_FollowStream
	// positions are those that the follower's copies have once it has applied what was sent. Only sendUpdates uses them.
	positions []view.Position

	mu     sync.Mutex
	source proof.Source
}

// receiveRequests reads the follower's requests until the stream ends.
func (s *session) receiveRequests() error {
	for {
		request, err := s.stream.Recv()
		if err != nil {
			return err
		}
		s.received(request)
	}
}

// received records when a request has arrived. The time is read after the arrival, not before.
func (s *session) received(request *wirepb.FollowRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Received(request.GetNumber(), clock.Boot())
}

// proofReport returns the report of a proof of the time proved, relative to the follower's last
// request.
func (s *session) proofReport(proved time.Duration) proof.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Report(proved)
}

// sendUpdates sends what the follower lacks until ctx ends or the stream breaks.
func (s *session) sendUpdates(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	var sent view.Proof
	due, sentFailing := true, false
	var sentEra int64
	for {
		changed := s.server.state.Changed()
		failing := s.server.state.StoreFailing()
		era := s.server.state.Era()
		deltas, proved, known := s.server.state.DeltasSince(s.positions)
		if due || failing != sentFailing || era != sentEra || hasChanges(deltas) || known && (proved.Standing != sent.Standing || proved.At-sent.At >= minProofAdvance) {
			if err := s.send(deltas, proved, known, failing); err != nil {
				return // the follower is gone; receiveRequests ends as well
			}
			sent, due, sentFailing, sentEra = proved, false, failing, era
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
func (s *session) send(deltas []view.KindDelta, proved view.Proof, known, failing bool) error {
	last := s.update()
	last.Failing = failing
	for _, d := range deltas {
		if !worthCompressing(d) {
			last.Deltas = append(last.Deltas, deltaMessage(d))
		} else if err := s.sendLong(d); err != nil {
			return err
		}
		s.setPosition(d.Kind, d.End())
	}
	if known {
		last.Proof = proofMessage(s.proofReport(proved.At), proved)
	}
	return s.stream.Send(last)
}

// sendLong sends large changes compressed and in pieces.
func (s *session) sendLong(d view.KindDelta) error {
	pieces, err := s.server.compressor.pieces(d)
	if err != nil {
		return err
	}
	for _, piece := range pieces {
		update := s.update()
		update.Deltas = []*wirepb.FollowDelta{piece}
		if err := s.stream.Send(update); err != nil {
			return err
		}
	}
	return nil
}

// update returns an update that holds nothing but the store's era.
func (s *session) update() *wirepb.FollowUpdate {
	return &wirepb.FollowUpdate{Era: s.server.state.Era(), Eras: true}
}

// setPosition records the position that the follower's copy of a kind has.
func (s *session) setPosition(kind string, position replica.Position) {
	for i := range s.positions {
		if s.positions[i].Kind == kind {
			s.positions[i].Position = position
		}
	}
}
