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

// want returns the output of a pipeline of stages for the test's body.
func want(stages ...string) []string {
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
	bench := newBench(t, map[string][]*fakeSide{"encode": {a}, "generate": {b}})
	result := bench.run(context.Background(), bench.request(encode, generate))
	assert.Equal(t, result.Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, want("encode", "generate"))
	assert.Equal(t, await(t, a.runs).GetRevision(), uint64(7))
	await(t, a.acks)
	await(t, b.acks)
	bench.runner.flows.Wait()
	assert.Equal(t, len(bench.router.results), bench.router.chosen)
}

// TestStrangeEventsAreHarmless mixes events of other attempts, doubles and
// disorder into a whole answer.
func TestStrangeEventsAreHarmless(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		key, out := r.GetKey(), outputOf("generate", r.GetInput())
		other := &wirepb.AttemptKey{RequestId: "e-2", Stage: key.GetStage(), Attempt: key.GetAttempt(), SideIncarnation: key.GetSideIncarnation()}
		stale := &wirepb.AttemptKey{RequestId: key.GetRequestId(), Stage: key.GetStage(), Attempt: key.GetAttempt(), SideIncarnation: 1}
		return sendAll(stream,
			chunk(other, 0, "another request's"), closing(other, nil),
			chunk(key, 2, out[2]), started(key), chunk(key, 0, out[0]), chunk(key, 0, out[0]),
			chunk(stale, 1, "another incarnation's"), closing(stale, []string{out[0]}),
			closing(key, out), chunk(key, 1, out[1]), closing(key, out))
	}
	bench := newBench(t, map[string][]*fakeSide{"generate": {side}})
	assert.Equal(t, bench.run(context.Background(), bench.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, want("generate"))
	found, _ := bench.traces.Get("e-1")
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
		return sendAll(stream, started(r.GetKey()), chunk(r.GetKey(), 0, out[0]))
	}
	side.onAttach = func(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
		out := want("generate")
		return sendAll(stream, started(r.GetKey()), chunk(r.GetKey(), 1, out[1]), chunk(r.GetKey(), 2, out[2]), closing(r.GetKey(), out))
	}
	bench := newBench(t, map[string][]*fakeSide{"generate": {side}})
	assert.Equal(t, bench.run(context.Background(), bench.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, want("generate"))
	assert.Equal(t, await(t, side.attaches).GetFromChunk(), uint64(1))
	assert.Equal(t, len(side.runs), 1)
}

func TestDeadSideIsResumedElsewhere(t *testing.T) {
	dead, spare := startSide(t, "a"), startSide(t, "b")
	dead.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		out := outputOf("generate", r.GetInput())
		_ = sendAll(stream, started(r.GetKey()), chunk(r.GetKey(), 0, out[0]))
		go dead.stop()
		return hang(stream.Context())
	}
	bench := newBench(t, map[string][]*fakeSide{"generate": {dead, spare}})
	assert.Equal(t, bench.run(context.Background(), bench.request(generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, want("generate"))
	assert.Equal(t, len(await(t, spare.runs).GetResume()), 1)
}

func TestFrozenSideIsLeft(t *testing.T) {
	frozen, spare := startSide(t, "a"), startSide(t, "b")
	close(frozen.frozen)
	frozen.onRun = func(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error { return hang(stream.Context()) }
	bench := newBench(t, map[string][]*fakeSide{"encode": {frozen, spare}})
	assert.Equal(t, bench.run(context.Background(), bench.request(encode)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, want("encode"))
	assert.Equal(t, await(t, frozen.cancels).GetReason(), wirepb.CancelReason_CANCEL_SUPERSEDED)
}

func TestClaimedStageIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	side := startSide(t, "a")
	bench := newBench(t, map[string][]*fakeSide{"pay": {side}})
	assert.Equal(t, bench.run(context.Background(), bench.request(pay)).Outcome, core.OutcomeAnswered)
	run := await(t, side.runs)
	assert.Equal(t, run.GetClaim().GetNonce(), uint64(1))
	await(t, side.acks)
	await(t, bench.claims.finishes)
	assert.Equal(t, len(bench.claims.finished), 3)
}

func TestClaimedStageNeverSentGoesElsewhere(t *testing.T) {
	dead, spare := startSide(t, "a"), startSide(t, "b")
	dead.stop()
	bench := newBench(t, map[string][]*fakeSide{"pay": {dead, spare}})
	assert.Equal(t, bench.run(context.Background(), bench.request(pay)).Outcome, core.OutcomeAnswered)
	assert.Equal(t, bench.claims.reassigned, 1)
	assert.Equal(t, await(t, spare.runs).GetKey().GetAttempt(), uint32(2))
}

// resolveTest runs a claimed stage whose first side breaks the stream, doesn't
// know the attempt when attached to, and resolves to state.
func resolveTest(t *testing.T, state wirepb.ResolveState) (*bench, Result, *fakeSide) {
	broken, spare := startSide(t, "a"), startSide(t, "b")
	broken.onRun = func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error { return nil }
	broken.onAttach = func(r *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
		return stream.Send(&wirepb.RunEvent{Key: r.GetKey(), Event: &wirepb.RunEvent_Refused{
			Refused: &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_INCARNATION},
		}})
	}
	broken.onResolve = func(*wirepb.ResolveRequest) *wirepb.ResolveReply { return &wirepb.ResolveReply{State: state} }
	b := newBench(t, map[string][]*fakeSide{"pay": {broken, spare}})
	return b, b.run(context.Background(), b.request(pay)), spare
}

func TestClaimedStageWithTombstoneGoesElsewhere(t *testing.T) {
	bench, result, spare := resolveTest(t, wirepb.ResolveState_RESOLVE_NOT_RUN)
	assert.Equal(t, result.Outcome, core.OutcomeAnswered)
	assert.Equal(t, bench.claims.reassigned, 1)
	assert.Equal(t, len(spare.runs), 1)
}

func TestClaimedStageThatIsGoneIsUnknown(t *testing.T) {
	bench, result, spare := resolveTest(t, wirepb.ResolveState_RESOLVE_GONE)
	assert.Equal(t, result.Outcome, core.OutcomeUnknown)
	assert.Equal(t, result.Cause, request.GiveUpUnknown)
	assert.Equal(t, bench.claims.reassigned, 0)
	assert.Equal(t, len(spare.runs), 0)
}

func TestKeptResultSkipsTheStages(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(_ *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error { return hang(stream.Context()) }
	last := startSide(t, "b")
	bench := newBench(t, map[string][]*fakeSide{"encode": {side}, "pay": {side}, "generate": {last}})
	bench.claims.held = &claims.Held{Status: claims.Done, Chunks: [][]byte{[]byte("paid")}, Recorded: true}
	assert.Equal(t, bench.run(context.Background(), bench.request(encode, pay, generate)).Outcome, core.OutcomeAnswered)
	assert.DeepEqual(t, bench.got, outputOf("generate", []byte("paid")))
}

func TestCallerGoneCancelsTheWork(t *testing.T) {
	side := startSide(t, "a")
	ctx, leave := context.WithCancel(context.Background())
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		_ = stream.Send(started(r.GetKey()))
		leave()
		return hang(stream.Context())
	}
	bench := newBench(t, map[string][]*fakeSide{"encode": {side}})
	result := bench.run(ctx, bench.request(encode))
	assert.Equal(t, result.Cause, request.GiveUpCallerGone)
	assert.Equal(t, await(t, side.cancels).GetReason(), wirepb.CancelReason_CANCEL_CALLER_GONE)
}

// TestDeadlineCancelsTheWork takes the first of growing deadlines that leaves the
// machine the time to bring the work to its side.
func TestDeadlineCancelsTheWork(t *testing.T) {
	side := startSide(t, "a")
	side.onRun = func(r *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		_ = stream.Send(started(r.GetKey()))
		return hang(stream.Context())
	}
	bench := newBench(t, map[string][]*fakeSide{"encode": {side}})
	request := bench.request(encode)
	var result Result
	for request.Deadline = 100 * time.Millisecond; len(side.runs) == 0; request.Deadline *= 2 {
		result = bench.run(context.Background(), request)
	}
	assert.Equal(t, result.Outcome, core.OutcomeFailed)
	assert.Equal(t, await(t, side.cancels).GetReason(), wirepb.CancelReason_CANCEL_DEADLINE)
}
