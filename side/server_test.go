package side

import (
	"context"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/core/gate"
	"acaciawinch/wire/wirepb"
)

func TestRunStreamsNumberedChunksWithCountAndDigest(t *testing.T) {
	r := newRig(t, gate.Options{})
	s := r.run(context.Background(), r.request())
	c := r.call()
	assert.Equal(t, c.call.ID, "entry-1/draft/1")
	c.chunks <- "a "
	c.chunks <- "b "
	close(c.chunks)
	out := r.read(s)
	assert.Assert(t, out.started)
	assert.DeepEqual(t, out.chunks, []string{"a ", "b "})
	assert.Equal(t, out.done.GetChunks(), uint64(2))
	assert.Equal(t, out.done.GetDigest(), xxhash.Sum64String("a b "))
	assert.Equal(t, out.done.GetCost(), uint64(2))
	assert.Equal(t, out.done.GetLoad().GetCapacity(), uint32(2))
}

func TestSecondRunOfAnAttemptFollowsTheFirst(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.request()
	first := r.run(context.Background(), request)
	c := r.call()
	c.chunks <- "a"
	second := r.run(context.Background(), request)
	c.chunks <- "b"
	close(c.chunks)
	assert.DeepEqual(t, r.read(first).chunks, []string{"a", "b"})
	assert.DeepEqual(t, r.read(second).chunks, []string{"a", "b"})
	assert.DeepEqual(t, r.read(r.run(context.Background(), request)).chunks, []string{"a", "b"})
	r.noCall()
}

func TestBrokenStreamGoesOnWhereAttachAsks(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.request()
	ctx, breakStream := context.WithCancel(context.Background())
	s := r.run(ctx, request)
	c := r.call()
	c.chunks <- "a"
	_, err := s.Recv()
	assert.NilError(t, err)
	breakStream()
	c.chunks <- "b"
	out := r.attach(request.GetKey(), 1)
	c.chunks <- "c"
	close(c.chunks)
	rest := r.read(out)
	assert.Equal(t, rest.first, uint64(1))
	assert.DeepEqual(t, rest.chunks, []string{"b", "c"})
	assert.Equal(t, rest.done.GetChunks(), uint64(3))
}

func TestAttemptThatNobodyFollowsIsCancelledAfterTheGrace(t *testing.T) {
	r := newRig(t, gate.Options{Grace: time.Second})
	ctx, breakStream := context.WithCancel(context.Background())
	r.run(ctx, r.request())
	c := r.call()
	breakStream()
	await(t, "nobody follows", func() bool { return r.keeper.pending().readers == 0 })
	r.advance(time.Second - 1)
	c.chunks <- "within the grace"
	r.advance(1)
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	await(t, "the pass is charged", func() bool { return r.charged(gate.CauseCallerGone) == 1 })
}

// charged returns the passes charged to a cause.
func (r *rig) charged(cause gate.Cause) uint64 {
	passes := uint64(0)
	r.keeper.read(func(time.Duration) {
		for _, line := range r.keeper.gate.Charges() {
			if line.Cause == cause {
				passes = line.Passes
			}
		}
	})
	return passes
}

func TestCancelEndsTheCallAtTheUpstream(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.request()
	s := r.run(context.Background(), request)
	c := r.call()
	reply, err := r.client().Cancel(context.Background(), &wirepb.CancelRequest{
		Key:    request.GetKey(),
		Reason: wirepb.CancelReason_CANCEL_HEDGE_LOST,
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetStarted())
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	out := r.read(s)
	assert.Equal(t, out.failed.GetDetail(), "stopped: hedge_lost")
	assert.Assert(t, out.failed.GetMayHaveRun())
	assert.Equal(t, r.charged(gate.CauseHedgeLost), uint64(1))
}

func TestCancelOfAWaitingAttemptRefusesIt(t *testing.T) {
	r := newRig(t, gate.Options{Capacity: 1})
	r.run(context.Background(), r.request())
	c := r.call()
	request := r.request()
	s := r.run(context.Background(), request)
	await(t, "it waits", func() bool { return r.keeper.pending().unsettled == 2 })
	reply, err := r.client().Cancel(context.Background(), &wirepb.CancelRequest{Key: request.GetKey()})
	assert.NilError(t, err)
	assert.Assert(t, !reply.GetStarted())
	assert.Equal(t, r.read(s).refused.GetReason(), wirepb.RefusalReason_REFUSAL_CANCELLED)
	close(c.chunks)
	r.noCall()
}

func TestEndWithoutOutputTellsWhetherTheWorkMayHaveRun(t *testing.T) {
	r := newRig(t, gate.Options{})
	end := func(code fault.Code) output {
		s := r.run(context.Background(), r.request())
		r.call().end <- fault.New(code, "upstream.run", "u1", "broke")
		return r.read(s)
	}
	assert.Assert(t, end(fault.Ambiguous).failed.GetMayHaveRun())
	assert.Assert(t, !end(fault.Unavailable).failed.GetMayHaveRun())
	assert.Assert(t, end(fault.Refused).refused != nil)
}

func TestDeadlineCancelsTheCallAtTheUpstream(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.request()
	request.RemainingMs = 30
	s := r.run(context.Background(), request)
	c := r.call()
	r.advance(30 * time.Millisecond)
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	assert.Equal(t, r.read(s).failed.GetDetail(), "stopped: deadline")
}

func TestOutputBeyondItsBoundEndsTheAttempt(t *testing.T) {
	r := newRig(t, gate.Options{})
	s := r.run(context.Background(), r.request())
	r.call().chunks <- string(make([]byte, 1<<10+1))
	assert.Equal(t, r.read(s).failed.GetDetail(), errOutputTooLarge.Error())
}

func TestResolveGivesTheResultOrForbidsTheAttempt(t *testing.T) {
	r := newRig(t, gate.Options{})
	done := r.claimed()
	s := r.run(context.Background(), done)
	c := r.call()
	assert.Equal(t, r.resolve(done).GetState(), wirepb.ResolveState_RESOLVE_RUNNING)
	c.chunks <- "sent"
	close(c.chunks)
	r.read(s)
	reply := r.resolve(done)
	assert.Equal(t, reply.GetState(), wirepb.ResolveState_RESOLVE_DONE)
	assert.DeepEqual(t, reply.GetChunks(), [][]byte{[]byte("sent")})
	assert.Equal(t, reply.GetDigest(), xxhash.Sum64String("sent"))

	unseen := r.claimed()
	assert.Equal(t, r.resolve(unseen).GetState(), wirepb.ResolveState_RESOLVE_NOT_RUN)
	out := r.read(r.run(context.Background(), unseen))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_TOMBSTONE)
	r.noCall()
}

// resolve asks what became of a claimed attempt.
func (r *rig) resolve(request *wirepb.RunRequest) *wirepb.ResolveReply {
	r.t.Helper()
	reply, err := r.client().Resolve(context.Background(), &wirepb.ResolveRequest{Key: request.GetKey(), Claim: request.GetClaim()})
	assert.NilError(r.t, err)
	return reply
}

func TestMessagesForAnotherIncarnationRunNothing(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.claimed()
	request.Key.SideIncarnation++
	out := r.read(r.run(context.Background(), request))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_INCARNATION)
	assert.Assert(t, r.read(r.attach(request.GetKey(), 0)).failed.GetMayHaveRun())
	assert.Equal(t, r.resolve(request).GetState(), wirepb.ResolveState_RESOLVE_GONE)
	r.noCall()
}

func TestAcknowledgedResultIsDropped(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.request()
	s := r.run(context.Background(), request)
	close(r.call().chunks)
	r.read(s)
	_, err := r.client().Acknowledge(context.Background(), &wirepb.AcknowledgeRequest{Key: request.GetKey()})
	assert.NilError(t, err)
	assert.Assert(t, r.read(r.attach(request.GetKey(), 0)).failed.GetMayHaveRun())
	assert.Equal(t, r.charged(gate.CauseUseful), uint64(1))
}

func TestInvalidMessagesAreRefused(t *testing.T) {
	r := newRig(t, gate.Options{})
	large, unnamed := r.request(), r.request()
	large.Input = make([]byte, 1<<10+1)
	unnamed.Key.Stage = ""
	for _, request := range []*wirepb.RunRequest{large, unnamed} {
		out := r.read(r.run(context.Background(), request))
		assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_INVALID)
	}
	r.noCall()
}

func TestDrainCallEndsAdmissionAndResumeBeginsIt(t *testing.T) {
	r := newRig(t, gate.Options{})
	drain := func(resume bool) {
		_, err := r.client().Drain(context.Background(), &wirepb.DrainRequest{Resume: resume})
		assert.NilError(t, err)
	}
	drain(false)
	out := r.read(r.run(context.Background(), r.request()))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_DRAINING)
	assert.Assert(t, out.refused.GetLoad().GetDraining())
	drain(true)
	r.run(context.Background(), r.request())
	close(r.call().chunks)
}

// TestProbeTellsTheWaitOfTheWorkspaceThatAsks has one workspace's work wait behind
// its own.
func TestProbeTellsTheWaitOfTheWorkspaceThatAsks(t *testing.T) {
	r := newRig(t, gate.Options{Capacity: 1})
	first := r.run(context.Background(), r.request())
	call := r.call()
	r.advance(time.Second)
	call.chunks <- "a"
	close(call.chunks)
	r.read(first)
	probe := func(workspace string) *wirepb.ProbeReply {
		reply, err := r.client().Probe(context.Background(), &wirepb.ProbeRequest{Workspace: workspace})
		assert.NilError(t, err)
		return reply
	}
	for range 10 {
		r.run(context.Background(), r.request())
	}
	await(t, "eight wait", func() bool { return probe("").GetLoad().GetQueued() >= 8 })
	own, other := probe(r.request().GetWorkspace()).GetWaitUs(), probe("another").GetWaitUs()
	assert.Assert(t, own > other, "%d us and %d us", own, other)
}

func TestUpstreamsNoticeAndSilenceEndAdmission(t *testing.T) {
	r := newRig(t, gate.Options{})
	load := func() *wirepb.Load {
		reply, err := r.client().Probe(context.Background(), &wirepb.ProbeRequest{})
		assert.NilError(t, err)
		return reply.GetLoad()
	}
	r.fake.set(func(f *fakeUpstream) { f.status.Leaving = true })
	await(t, "it drains", func() bool { return load().GetDraining() })
	r.fake.set(func(f *fakeUpstream) { f.status.Leaving = false })
	await(t, "it takes work again", func() bool { return !load().GetDraining() })
	r.fake.set(func(f *fakeUpstream) { f.silent = true })
	await(t, "it is stalled", func() bool { return load().GetStalled() })
	r.fake.set(func(f *fakeUpstream) { f.silent = false })
	await(t, "it answers again", func() bool { return !load().GetStalled() })
}
