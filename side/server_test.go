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
	h := newHarness(t, gate.Options{})
	s := h.run(context.Background(), h.request())
	c := h.call()
	assert.Equal(t, c.call.ID, "entry-1/draft/1")
	c.chunks <- "a "
	c.chunks <- "b "
	close(c.chunks)
	out := h.read(s)
	assert.Assert(t, out.started)
	assert.DeepEqual(t, out.chunks, []string{"a ", "b "})
	assert.Equal(t, out.done.GetChunks(), uint64(2))
	assert.Equal(t, out.done.GetDigest(), xxhash.Sum64String("a b "))
	assert.Equal(t, out.done.GetCost(), uint64(2))
	assert.Equal(t, out.done.GetLoad().GetCapacity(), uint32(2))
}

func TestSecondRunOfAnAttemptFollowsTheFirst(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.request()
	first := h.run(context.Background(), request)
	c := h.call()
	c.chunks <- "a"
	second := h.run(context.Background(), request)
	c.chunks <- "b"
	close(c.chunks)
	assert.DeepEqual(t, h.read(first).chunks, []string{"a", "b"})
	assert.DeepEqual(t, h.read(second).chunks, []string{"a", "b"})
	assert.DeepEqual(t, h.read(h.run(context.Background(), request)).chunks, []string{"a", "b"})
	h.noCall()
}

func TestAttachResumesABrokenStreamAtAChunk(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.request()
	ctx, breakStream := context.WithCancel(context.Background())
	s := h.run(ctx, request)
	c := h.call()
	c.chunks <- "a"
	_, err := s.Recv()
	assert.NilError(t, err)
	breakStream()
	c.chunks <- "b"
	out := h.attach(request.GetKey(), 1)
	c.chunks <- "c"
	close(c.chunks)
	resumed := h.read(out)
	assert.Equal(t, resumed.first, uint64(1))
	assert.DeepEqual(t, resumed.chunks, []string{"b", "c"})
	assert.Equal(t, resumed.done.GetChunks(), uint64(3))
}

func TestAttemptWithoutSubscribersIsCancelledAfterTheGrace(t *testing.T) {
	h := newHarness(t, gate.Options{Grace: time.Second})
	ctx, breakStream := context.WithCancel(context.Background())
	h.run(ctx, h.request())
	c := h.call()
	breakStream()
	await(t, "the attempt has no subscriber", func() bool { return h.dispatcher.pending().subscribers == 0 })
	h.advance(time.Second - 1)
	c.chunks <- "within the grace"
	h.advance(1)
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	await(t, "the pass is charged", func() bool { return h.charged(gate.CauseCallerGone) == 1 })
}

// charged returns the passes charged to a cause.
func (h *harness) charged(cause gate.Cause) uint64 {
	passes := uint64(0)
	h.dispatcher.read(func(time.Duration) {
		for _, line := range h.dispatcher.gate.Charges() {
			if line.Cause == cause {
				passes = line.Passes
			}
		}
	})
	return passes
}

func TestCancelEndsTheCallAtTheUpstream(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.request()
	s := h.run(context.Background(), request)
	c := h.call()
	reply, err := h.client().Cancel(context.Background(), &wirepb.CancelRequest{
		Key:    request.GetKey(),
		Reason: wirepb.CancelReason_CANCEL_HEDGE_LOST,
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetStarted())
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	out := h.read(s)
	assert.Equal(t, out.failed.GetDetail(), "stopped: hedge_lost")
	assert.Assert(t, out.failed.GetMayHaveRun())
	assert.Equal(t, h.charged(gate.CauseHedgeLost), uint64(1))
}

func TestCancelOfAWaitingAttemptRefusesIt(t *testing.T) {
	h := newHarness(t, gate.Options{Capacity: 1})
	h.run(context.Background(), h.request())
	c := h.call()
	request := h.request()
	s := h.run(context.Background(), request)
	await(t, "the attempt waits", func() bool { return h.dispatcher.pending().unsettled == 2 })
	reply, err := h.client().Cancel(context.Background(), &wirepb.CancelRequest{Key: request.GetKey()})
	assert.NilError(t, err)
	assert.Assert(t, !reply.GetStarted())
	assert.Equal(t, h.read(s).refused.GetReason(), wirepb.RefusalReason_REFUSAL_CANCELLED)
	close(c.chunks)
	h.noCall()
}

func TestFailureReportsWhetherTheAttemptMayHaveRun(t *testing.T) {
	h := newHarness(t, gate.Options{})
	end := func(code fault.Code) output {
		s := h.run(context.Background(), h.request())
		h.call().failure <- fault.New(code, "upstream.run", "u1", "broke")
		return h.read(s)
	}
	assert.Assert(t, end(fault.Ambiguous).failed.GetMayHaveRun())
	assert.Assert(t, !end(fault.Unavailable).failed.GetMayHaveRun())
	assert.Assert(t, end(fault.Refused).refused != nil)
}

func TestDeadlineCancelsTheCallAtTheUpstream(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.request()
	request.RemainingMs = 30
	s := h.run(context.Background(), request)
	c := h.call()
	h.advance(30 * time.Millisecond)
	awaitClosed(t, "the upstream's call was not cancelled", c.cancelled)
	assert.Equal(t, h.read(s).failed.GetDetail(), "stopped: deadline")
}

func TestOutputBeyondItsBoundEndsTheAttempt(t *testing.T) {
	h := newHarness(t, gate.Options{})
	s := h.run(context.Background(), h.request())
	h.call().chunks <- string(make([]byte, 1<<10+1))
	assert.Equal(t, h.read(s).failed.GetDetail(), errOutputTooLarge.Error())
}

func TestResolveReturnsTheResultOrLeavesATombstone(t *testing.T) {
	h := newHarness(t, gate.Options{})
	done := h.claimed()
	s := h.run(context.Background(), done)
	c := h.call()
	assert.Equal(t, h.resolve(done).GetState(), wirepb.ResolveState_RESOLVE_RUNNING)
	c.chunks <- "sent"
	close(c.chunks)
	h.read(s)
	reply := h.resolve(done)
	assert.Equal(t, reply.GetState(), wirepb.ResolveState_RESOLVE_DONE)
	assert.DeepEqual(t, reply.GetChunks(), [][]byte{[]byte("sent")})
	assert.Equal(t, reply.GetDigest(), xxhash.Sum64String("sent"))

	unseen := h.claimed()
	assert.Equal(t, h.resolve(unseen).GetState(), wirepb.ResolveState_RESOLVE_NOT_RUN)
	out := h.read(h.run(context.Background(), unseen))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_TOMBSTONE)
	h.noCall()
}

// resolve sends a Resolve call for a claimed attempt.
func (h *harness) resolve(request *wirepb.RunRequest) *wirepb.ResolveReply {
	h.t.Helper()
	reply, err := h.client().Resolve(context.Background(), &wirepb.ResolveRequest{Key: request.GetKey(), Claim: request.GetClaim()})
	assert.NilError(h.t, err)
	return reply
}

func TestMessagesForAnotherIncarnationRunNothing(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.claimed()
	request.Key.SideIncarnation++
	out := h.read(h.run(context.Background(), request))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_INCARNATION)
	assert.Assert(t, h.read(h.attach(request.GetKey(), 0)).failed.GetMayHaveRun())
	assert.Equal(t, h.resolve(request).GetState(), wirepb.ResolveState_RESOLVE_GONE)
	h.noCall()
}

func TestAcknowledgedResultIsDropped(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.request()
	s := h.run(context.Background(), request)
	close(h.call().chunks)
	h.read(s)
	_, err := h.client().Acknowledge(context.Background(), &wirepb.AcknowledgeRequest{Key: request.GetKey()})
	assert.NilError(t, err)
	assert.Assert(t, h.read(h.attach(request.GetKey(), 0)).failed.GetMayHaveRun())
	assert.Equal(t, h.charged(gate.CauseUseful), uint64(1))
}

func TestInvalidMessagesAreRefused(t *testing.T) {
	h := newHarness(t, gate.Options{})
	large, unnamed := h.request(), h.request()
	large.Input = make([]byte, 1<<10+1)
	unnamed.Key.Stage = ""
	for _, request := range []*wirepb.RunRequest{large, unnamed} {
		out := h.read(h.run(context.Background(), request))
		assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_INVALID)
	}
	h.noCall()
}

func TestDrainStopsAdmissionAndResumeRestartsIt(t *testing.T) {
	h := newHarness(t, gate.Options{})
	drain := func(resume bool) {
		_, err := h.client().Drain(context.Background(), &wirepb.DrainRequest{Resume: resume})
		assert.NilError(t, err)
	}
	drain(false)
	out := h.read(h.run(context.Background(), h.request()))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_DRAINING)
	assert.Assert(t, out.refused.GetLoad().GetDraining())
	drain(true)
	h.run(context.Background(), h.request())
	close(h.call().chunks)
}

// TestProbeReportsTheWaitOfItsWorkspace guards against a wait that ignores fair
// queueing: with attempts of one workspace waiting, another workspace waits less.
func TestProbeReportsTheWaitOfItsWorkspace(t *testing.T) {
	h := newHarness(t, gate.Options{Capacity: 1})
	first := h.run(context.Background(), h.request())
	call := h.call()
	h.advance(time.Second)
	call.chunks <- "a"
	close(call.chunks)
	h.read(first)
	probe := func(workspace string) *wirepb.ProbeReply {
		reply, err := h.client().Probe(context.Background(), &wirepb.ProbeRequest{Workspace: workspace})
		assert.NilError(t, err)
		return reply
	}
	for range 10 {
		h.run(context.Background(), h.request())
	}
	await(t, "eight attempts wait", func() bool { return probe("").GetLoad().GetQueued() >= 8 })
	own, other := probe(h.request().GetWorkspace()).GetWaitUs(), probe("another").GetWaitUs()
	assert.Assert(t, own > other, "%d us and %d us", own, other)
}

func TestLeavingUpstreamDrainsAndSilentUpstreamStalls(t *testing.T) {
	h := newHarness(t, gate.Options{})
	load := func() *wirepb.Load {
		reply, err := h.client().Probe(context.Background(), &wirepb.ProbeRequest{})
		assert.NilError(t, err)
		return reply.GetLoad()
	}
	h.fake.set(func(f *fakeUpstream) { f.status.Leaving = true })
	await(t, "the upstream drains", func() bool { return load().GetDraining() })
	h.fake.set(func(f *fakeUpstream) { f.status.Leaving = false })
	await(t, "the upstream is no longer draining", func() bool { return !load().GetDraining() })
	h.fake.set(func(f *fakeUpstream) { f.silent = true })
	await(t, "the upstream is stalled", func() bool { return load().GetStalled() })
	h.fake.set(func(f *fakeUpstream) { f.silent = false })
	await(t, "the upstream is no longer stalled", func() bool { return !load().GetStalled() })
}
