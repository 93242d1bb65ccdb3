package relay

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"acaciawinch/core/era"
	"acaciawinch/core/replica"
	"acaciawinch/core/source"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/document"
	"acaciawinch/wire/wirepb"
)

// newLogger returns a logger whose lines are dropped.
func newLogger(t *testing.T) *observe.Logger {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	return logger
}

// newView returns a View whose configuration is at a position, or one without data for replica.Empty.
func newView(t *testing.T, at replica.Position) *view.View {
	t.Helper()
	v := view.New(view.Options{Logger: newLogger(t), Self: view.Member{Name: "self"}, Store: view.StoreOptions{ConfirmWithin: 4500 * time.Millisecond}})
	v.HearEra(at.Era)
	if at != replica.Empty {
		assert.NilError(t, v.ApplyDelta(configList(at)))
	}
	return v
}

// configList returns an empty list of the configuration at a position.
func configList(at replica.Position) view.KindDelta {
	return view.KindDelta{Kind: document.ConfigKind, Delta: replica.Delta{Reset: true, Era: at.Era, Revision: at.Revision}}
}

// stream is a stream in memory, of which both ends are used by the test.
type stream struct {
	drpc.Stream
	ctx      context.Context
	requests chan *wirepb.FollowRequest
	updates  chan *wirepb.FollowUpdate
}

// newStream returns a stream that ends with the test.
func newStream(t *testing.T) *stream {
	return &stream{ctx: t.Context(), requests: make(chan *wirepb.FollowRequest, 1), updates: make(chan *wirepb.FollowUpdate, 16)}
}

// Context implements drpc.Stream.
func (s *stream) Context() context.Context { return s.ctx }

// Send implements wirepb.DRPCFleet_FollowStream.
func (s *stream) Send(m *wirepb.FollowUpdate) error {
	s.updates <- m
	return nil
}

// Recv implements wirepb.DRPCFleet_FollowStream.
func (s *stream) Recv() (*wirepb.FollowRequest, error) {
	select {
	case request := <-s.requests:
		return request, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// serve starts to serve a follower whose first request is given, and returns its stream.
func serve(t *testing.T, v *view.View, first *wirepb.FollowRequest) (*stream, <-chan error) {
	s := newStream(t)
	s.requests <- first
	ended := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { ended <- NewServer(v, newLogger(t), tally.NoopScope).Follow(s) })
	t.Cleanup(running.Wait)
	return s, ended
}

// newLink returns a link to a source by which a View is kept up to date. One request was sent.
func newLink(t *testing.T, v *view.View) *link {
	f := NewFollower(Options{View: v, Self: view.Member{Name: "self"}, Logger: newLogger(t), Scope: tally.NoopScope})
	f.selector = source.New(source.Member{Name: "self"}, source.Settings{}, clock.Boot())
	l := &link{follower: f, source: view.Member{Name: "g1"}, assembler: newAssembler()}
	l.requests.NextRequest(clock.Boot())
	return l
}

// TestAFollowerThatKnowsNoErasIsServedOnlyByAStoreWithoutEras: it would take a list of a later era for an
// old one, and count the proof that comes with it.
func TestAFollowerThatKnowsNoErasIsServedOnlyByAStoreWithoutEras(t *testing.T) {
	older := &wirepb.FollowRequest{Number: 1, Positions: []*wirepb.FollowPosition{{Kind: document.ConfigKind, Revision: 50}}}
	_, ended := serve(t, newView(t, replica.Position{Era: 2, Revision: 10}), older)
	assert.ErrorContains(t, <-ended, "does not know")
	s, _ := serve(t, newView(t, replica.Position{Revision: 60}), older)
	update := <-s.updates
	assert.Equal(t, update.GetDeltas()[0].GetRevision(), int64(60))
}

// TestASourceThatKnowsNoErasIsFollowedOnlyIfTheStoreHasNone is the same for a source of an older build.
func TestASourceThatKnowsNoErasIsFollowedOnlyIfTheStoreHasNone(t *testing.T) {
	older := &wirepb.FollowUpdate{
		Deltas: []*wirepb.FollowDelta{{Kind: document.ConfigKind, Reset_: true, Revision: 70}},
		Proof:  &wirepb.FollowProof{Number: 1},
	}
	v := newView(t, replica.Position{Era: 2, Revision: 10})
	assert.ErrorContains(t, newLink(t, v).apply(older), "does not know")
	_, known := v.Proof()
	assert.Assert(t, !known)
	v = newView(t, replica.Position{Revision: 60})
	assert.NilError(t, newLink(t, v).apply(older))
	_, known = v.Proof()
	assert.Assert(t, known)
}

// TestAFollowerOfAnEarlierEraGetsTheListAndTheProofOfTheLaterOne: the revision of its copy is above that of
// its source, as the store gives its revisions out again.
func TestAFollowerOfAnEarlierEraGetsTheListAndTheProofOfTheLaterOne(t *testing.T) {
	from := newView(t, replica.Position{Era: 2, Revision: 10})
	assert.Assert(t, from.Confirm(view.Proof{At: clock.Boot(), Era: 2, From: view.FromStore, Standing: era.Settled}))
	to := newView(t, replica.Position{Era: 1, Revision: 50})
	l := newLink(t, to)
	s, _ := serve(t, from, &wirepb.FollowRequest{Number: 1, Eras: true, Positions: positionMessages(to.Positions())})
	assert.NilError(t, l.apply(<-s.updates))
	assert.Equal(t, to.Era(), int64(2))
	assert.Equal(t, to.Positions()[0].Position, replica.Position{Era: 2, Revision: 10})
	newest, known := to.Proof()
	assert.Assert(t, known && newest.Era == 2 && newest.Standing == era.Settled && newest.Hops == 1)
	assert.NilError(t, from.ApplyDelta(view.KindDelta{Kind: document.ConfigKind, Delta: replica.Delta{Era: 2, After: 10, Revision: 11,
		Changes: []replica.Change{{Object: replica.Object{Name: "other", Revision: 11}}}}}))
	assert.NilError(t, l.apply(<-s.updates))
	assert.Equal(t, to.Positions()[0].Position, replica.Position{Era: 2, Revision: 11})
}

// TestASourceOfAnEarlierEraChangesAndProvesNothing: the follower has heard of the later era from the store.
func TestASourceOfAnEarlierEraChangesAndProvesNothing(t *testing.T) {
	from := newView(t, replica.Position{Era: 1, Revision: 50})
	assert.Assert(t, from.Confirm(view.Proof{At: clock.Boot(), Era: 1, From: view.FromStore, Standing: era.Settled}))
	to := newView(t, replica.Position{Era: 2, Revision: 10})
	s, _ := serve(t, from, &wirepb.FollowRequest{Number: 1, Eras: true, Positions: []*wirepb.FollowPosition{{Kind: document.ConfigKind, Revision: -1}}})
	assert.NilError(t, newLink(t, to).apply(<-s.updates))
	assert.Equal(t, to.Era(), int64(2))
	assert.Equal(t, to.Positions()[0].Position, replica.Position{Era: 2, Revision: 10})
	_, known := to.Proof()
	assert.Assert(t, !known)
}

// TestAnEraIsPassedOnAtOnce: the followers of a source that has heard of a new era must not count the
// source's proofs of the old one as fresh until its next heartbeat.
func TestAnEraIsPassedOnAtOnce(t *testing.T) {
	from := newView(t, replica.Position{Era: 1, Revision: 50})
	s, _ := serve(t, from, &wirepb.FollowRequest{Number: 1, Eras: true, Positions: positionMessages(from.Positions())})
	assert.Equal(t, (<-s.updates).GetEra(), int64(1))
	changed := from.Changed()
	from.HearEra(2)
	<-changed // sendUpdates waits for it
	update := <-s.updates
	assert.Equal(t, update.GetEra(), int64(2))
	assert.Equal(t, len(update.GetDeltas()), 0)
}

// TestAProofThatIsHeldOffStillShowsThatTheSourceReadsTheStore: otherwise all followers would look for other
// sources after each return of the store, and find none.
func TestAProofThatIsHeldOffStillShowsThatTheSourceReadsTheStore(t *testing.T) {
	to := newView(t, replica.Position{Era: 1, Revision: 50})
	l := newLink(t, to)
	update := &wirepb.FollowUpdate{Era: 2, Eras: true,
		Deltas: []*wirepb.FollowDelta{deltaMessage(configList(replica.Position{Era: 2, Revision: 10}))},
		Proof:  &wirepb.FollowProof{Number: 1, Era: 2, Held: true},
	}
	assert.NilError(t, l.apply(update))
	at, hasProof := l.confirm(update.GetProof())
	assert.Assert(t, hasProof && clock.Boot()-at < time.Second)
	_, known := to.Proof()
	assert.Assert(t, !known, "it must not count for keys")
}
