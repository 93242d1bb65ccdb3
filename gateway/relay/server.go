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

// Timing of what a source says.
const (
	// beatEvery is the longest time without a word: half of what a follower waits for one.
	beatEvery = 750 * time.Millisecond
	// proofStep is the least by which a proof must be newer to be worth a message of its own.
	proofStep = 300 * time.Millisecond
)

// Knowledge is what a Server passes on. Its methods are those of view.View.
type Knowledge interface {
	Since(positions []view.Position) ([]view.KindDelta, view.Proof, bool)
	Changed() <-chan struct{}
	Failing() bool
}

// Server tells followers what this process knows. It may be used by many goroutines.
type Server struct {
	wirepb.DRPCFleetUnimplementedServer
	knowledge Knowledge
	logger    *observe.Logger
	packer    *packer
	followers atomic.Int64
	// shown is the number of followers.
	shown tally.Gauge
}

// NewServer returns a Server of what is known.
func NewServer(knowledge Knowledge, logger *observe.Logger, scope tally.Scope) *Server {
	return &Server{knowledge: knowledge, logger: logger, packer: newPacker(), shown: scope.Gauge("followers")}
}

// count notes that followers came or went.
func (s *Server) count(more int64) { s.shown.Update(float64(s.followers.Add(more))) }

// Follow implements the generated server.
func (s *Server) Follow(stream wirepb.DRPCFleet_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	began := clock.Boot()
	f := &session{server: s, stream: stream, positions: positionsOf(first.GetPositions())}
	f.received(first)
	s.count(1)
	defer s.count(-1)
	s.logger.Event(event.FollowerCame, observe.Fields{"peer": first.GetName()})
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go f.tell(ctx, cancel)
	err = f.listen()
	s.logger.Event(event.FollowerLeft, observe.Fields{"peer": first.GetName(), "after_ms": (clock.Boot() - began).Milliseconds(), "error": err.Error()})
	return nil // the follower's end of the stream is its normal end
}

// session is one follower.
type session struct {
	server *Server
	stream wirepb.DRPCFleet_FollowStream
	// positions is how far the follower's copies reach after what was sent. Only tell uses
	// it.
	positions []view.Position

	mu     sync.Mutex
	source proof.Source
}

// listen reads the follower's requests until the stream ends.
func (f *session) listen() error {
	for {
		request, err := f.stream.Recv()
		if err != nil {
			return err
		}
		f.received(request)
	}
}

// received notes a request. The time is that after its arrival.
func (f *session) received(request *wirepb.FollowRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source.Received(request.GetNumber(), clock.Boot())
}

// word returns the word on a proof.
func (f *session) word(proved time.Duration) proof.Word {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source.Word(proved)
}

// tell sends what the follower lacks until ctx ends or the stream breaks.
func (f *session) tell(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	var sent view.Proof
	due, told := true, false
	for {
		changed := f.server.knowledge.Changed()
		failing := f.server.knowledge.Failing()
		deltas, proved, known := f.server.knowledge.Since(f.positions)
		if due || failing != told || hasChanges(deltas) || known && proved.At-sent.At >= proofStep {
			if err := f.send(deltas, proved, known, failing); err != nil {
				return // the follower is gone; listen ends as well
			}
			sent, due, told = proved, false, failing
			beat.Reset(beatEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			due = true
		}
	}
}

// hasChanges tells whether deltas hold more than a later end.
func hasChanges(deltas []view.KindDelta) bool {
	for _, d := range deltas {
		if d.Reset || len(d.Changes) > 0 {
			return true
		}
	}
	return false
}

// send sends what the follower lacks and moves its positions. Long changes go ahead, in
// pieces; the proof comes last, as it holds for all that went before.
func (f *session) send(deltas []view.KindDelta, proved view.Proof, known, failing bool) error {
	last := &wirepb.FollowUpdate{Failing: failing}
	for _, d := range deltas {
		if !isLong(d) {
			last.Deltas = append(last.Deltas, deltaMessage(d))
		} else if err := f.sendLong(d); err != nil {
			return err
		}
		f.moved(d.Kind, d.Revision)
	}
	if known {
		last.Proof = proofMessage(f.word(proved.At), proved.Hops)
	}
	return f.stream.Send(last)
}

// sendLong sends long changes in pieces.
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

// moved notes how far a copy reaches now.
func (f *session) moved(kind string, revision int64) {
	for i := range f.positions {
		if f.positions[i].Kind == kind {
			f.positions[i].Revision = revision
		}
	}
}
