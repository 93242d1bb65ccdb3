package pipeline

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/wire/wirepb"
)

var (
	encode   = config.Stage{Name: "encode", Service: "encoders", Kind: config.KindPool}
	generate = config.Stage{Name: "generate", Service: "llm", Kind: config.KindEngine}
	pay      = config.Stage{Name: "pay", Service: "tesoreria", Kind: config.KindService, NonIdempotent: true}
)

// expectedOutput returns the output of the given stages for the body of the harness's
// requests.
func expectedOutput(stages ...string) []string {
	input := "{}"
	var chunks []string
	for _, stage := range stages {
		chunks = outputOf(stage, []byte(input))
		input = ""
		for _, c := range chunks {
			input += c
		}
	}
	return chunks
}

func TestAnswersThroughAllStages(t *testing.T) {
	a, b := startSide(t, "a"), startSide(t, "b")
	h := newHarness(t, map[string][]*fakeSide{"encode": {a}, "generate": {b}})
	result := h.run(context.Background(), h.request(encode, generate))
	assert.Equal(t, result.Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, expectedOutput("encode", "generate"))
	assert.Equal(t, receive(t, a.runs).GetRevision(), uint64(7))
	receive(t, a.acks)
	receive(t, b.acks)
	h.runner.flows.Wait()
	assert.Equal(t, len(h.router.results), h.router.chosen)
}

// TestForeignDuplicateAndReorderedEventsAreHarmless mixes events of other attempts,
// duplicates and reordered events into a complete response.
func TestForeignDuplicateAndReorderedEventsAreHarmless(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		key, out := r.GetKey(), outputOf("generate", r.GetInput())
		other := &wirepb.AttemptKey{RequestId: "e-2", Stage: key.GetStage(), Attempt: key.GetAttempt(), SideIncarnation: key.GetSideIncarnation()}
		stale := &wirepb.AttemptKey{RequestId: key.GetRequestId(), Stage: key.GetStage(), Attempt: key.GetAttempt(), SideIncarnation: 1}
		return sendAll(stream,
			chunkEvent(other, 0, "another request's"), doneEvent(other, nil),
			chunkEvent(key, 2, out[2]), startedEvent(key), chunkEvent(key, 0, out[0]), chunkEvent(key, 0, out[0]),
			chunkEvent(stale, 1, "another incarnation's"), doneEvent(stale, []string{out[0]}),
			doneEvent(key, out), chunkEvent(key, 1, out[1]), doneEvent(key, out))
	}
	h := newHarness(t, map[string][]*fakeSide{"generate": {side}})
	assert.Equal(t, h.run(context.Background(), h.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, expectedOutput("generate"))
	found, _ := h.traces.Get("e-1")
	dropped := 0
	for _, d := range found.Decisions {
		if d.Name == "event_dropped" {
			dropped++
		}
	}
	assert.Assert(t, dropped >= 4)
}

func TestBrokenStreamIsFollowedAtTheSameSide(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		out := outputOf("generate", r.GetInput())
		return sendAll(stream, startedEvent(r.GetKey()), chunkEvent(r.GetKey(), 0, out[0]))
	}
	side.onAttach = func(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
		out := expectedOutput("generate")
		return sendAll(stream, startedEvent(r.GetKey()), chunkEvent(r.GetKey(), 1, out[1]), chunkEvent(r.GetKey(), 2, out[2]), doneEvent(r.GetKey(), out))
	}
	h := newHarness(t, map[string][]*fakeSide{"generate": {side}})
	assert.Equal(t, h.run(context.Background(), h.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, expectedOutput("generate"))
	assert.Equal(t, receive(t, side.attaches).GetFromChunk(), uint64(1))
	assert.Equal(t, len(side.runs), 1)
}

func TestDeadSideIsResumedElsewhere(t *testing.T) {
	dead, spare := startSide(t, "a"), startSide(t, "b")
	dead.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		out := outputOf("generate", r.GetInput())
		_ = sendAll(stream, startedEvent(r.GetKey()), chunkEvent(r.GetKey(), 0, out[0]))
		go dead.stop()
		return block(stream.Context())
	}
	h := newHarness(t, map[string][]*fakeSide{"generate": {dead, spare}})
	assert.Equal(t, h.run(context.Background(), h.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, expectedOutput("generate"))
	assert.Equal(t, len(receive(t, spare.runs).GetResume()), 1)
}

func TestFrozenSideIsReplaced(t *testing.T) {
	frozen, spare := startSide(t, "a"), startSide(t, "b")
	close(frozen.frozen)
	frozen.onRun = func(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error { return block(stream.Context()) }
	h := newHarness(t, map[string][]*fakeSide{"encode": {frozen, spare}})
	assert.Equal(t, h.run(context.Background(), h.request(encode)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, expectedOutput("encode"))
	assert.Equal(t, receive(t, frozen.cancels).GetReason(), wirepb.CancelReason_CANCEL_SUPERSEDED)
}

func TestClaimedStageIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	side := startSide(t, "a")
	h := newHarness(t, map[string][]*fakeSide{"pay": {side}})
	assert.Equal(t, h.run(context.Background(), h.request(pay)).Outcome, core.OutcomeAnswered)
	run := receive(t, side.runs)
	assert.Equal(t, run.GetClaim().GetNonce(), uint64(1))
	receive(t, side.acks)
	receive(t, h.claims.finishes)
	assert.Equal(t, len(h.claims.finished), 3)
}

func TestClaimedStageNeverSentGoesElsewhere(t *testing.T) {
	dead, spare := startSide(t, "a"), startSide(t, "b")
	dead.stop()
	h := newHarness(t, map[string][]*fakeSide{"pay": {dead, spare}})
	assert.Equal(t, h.run(context.Background(), h.request(pay)).Outcome, core.OutcomeAnswered)
	assert.Equal(t, h.claims.reassigned, 1)
	assert.Equal(t, receive(t, spare.runs).GetKey().GetAttempt(), uint32(2))
}

// resolveTest runs a claimed stage whose first sidecar breaks the stream, refuses the
// Attach that follows, and responds to Resolve with the given state.
func resolveTest(t *testing.T, state wirepb.ResolveState) (*harness, Result, *fakeSide) {
	broken, spare := startSide(t, "a"), startSide(t, "b")
	broken.onRun = func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error { return nil }
	broken.onAttach = func(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
		return stream.Send(&wirepb.RunEvent{Key: r.GetKey(), Event: &wirepb.RunEvent_Refused{
			Refused: &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_INCARNATION},
		}})
	}
	broken.onResolve = func(*wirepb.ResolveRequest) *wirepb.ResolveReply { return &wirepb.ResolveReply{State: state} }
	h := newHarness(t, map[string][]*fakeSide{"pay": {broken, spare}})
	return h, h.run(context.Background(), h.request(pay)), spare
}

func TestClaimedStageWithTombstoneGoesElsewhere(t *testing.T) {
	h, result, spare := resolveTest(t, wirepb.ResolveState_RESOLVE_NOT_RUN)
	assert.Equal(t, result.Outcome, core.OutcomeAnswered)
	assert.Equal(t, h.claims.reassigned, 1)
	assert.Equal(t, len(spare.runs), 1)
}

func TestClaimedStageThatIsGoneIsUnknown(t *testing.T) {
	h, result, spare := resolveTest(t, wirepb.ResolveState_RESOLVE_GONE)
	assert.Equal(t, result.Outcome, core.OutcomeUnknown)
	assert.Equal(t, result.Cause, request.GiveUpUnresolved)
	assert.Equal(t, h.claims.reassigned, 0)
	assert.Equal(t, len(spare.runs), 0)
}

func TestRecordedResultSkipsEarlierStages(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error { return block(stream.Context()) }
	last := startSide(t, "b")
	h := newHarness(t, map[string][]*fakeSide{"encode": {side}, "pay": {side}, "generate": {last}})
	h.claims.verdict = &claims.State{Status: claims.Done, Chunks: [][]byte{[]byte("paid")}, Recorded: true}
	assert.Equal(t, h.run(context.Background(), h.request(encode, pay, generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, h.got, outputOf("generate", []byte("paid")))
}

func TestCallerGoneCancelsTheWork(t *testing.T) {
	side := startSide(t, "a")
	ctx, disconnect := context.WithCancel(context.Background())
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		_ = stream.Send(startedEvent(r.GetKey()))
		disconnect()
		return block(stream.Context())
	}
	h := newHarness(t, map[string][]*fakeSide{"encode": {side}})
	result := h.run(ctx, h.request(encode))
	assert.Equal(t, result.Cause, request.GiveUpCallerGone)
	assert.Equal(t, receive(t, side.cancels).GetReason(), wirepb.CancelReason_CANCEL_CALLER_GONE)
}

// TestDeadlineCancelsTheWork doubles the deadline until the attempt reaches its sidecar
// in time, because a busy host may take longer than the first deadline.
func TestDeadlineCancelsTheWork(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		_ = stream.Send(startedEvent(r.GetKey()))
		return block(stream.Context())
	}
	h := newHarness(t, map[string][]*fakeSide{"encode": {side}})
	request := h.request(encode)
	var result Result
	for request.Deadline = 100 * time.Millisecond; len(side.runs) == 0; request.Deadline *= 2 {
		result = h.run(context.Background(), request)
	}
	assert.Equal(t, result.Outcome, core.OutcomeFailed)
	assert.Equal(t, receive(t, side.cancels).GetReason(), wirepb.CancelReason_CANCEL_DEADLINE)
}
