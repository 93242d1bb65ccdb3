package request

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// fixedEstimate is a Services with one estimate for all services. Its budgets are
// unlimited, or exhausted if empty is set.
type fixedEstimate struct{ empty bool }

func (fixedEstimate) Estimate(string) latency.Estimate {
	return latency.Estimate{ServiceP50: 50 * time.Millisecond, ServiceP95: 80 * time.Millisecond, FirstChunkP95: 60 * time.Millisecond, ChunkGapP95: 10 * time.Millisecond}
}
func (k fixedEstimate) RetryBudget(string) Budget { return k }
func (k fixedEstimate) HedgeBudget(string) Budget { return k }
func (fixedEstimate) Deposit(time.Time)           {}
func (k fixedEstimate) Withdraw(time.Time) bool   { return !k.empty }

// scenario drives a machine with explicit events.
type scenario struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	actions []Action
	// refuseChecks leaves the checks of later stages to the test.
	refuseChecks bool
}

// newScenario starts a request of the given stages with a deadline of one second.
func newScenario(t *testing.T, services Services, stages ...Stage) *scenario {
	s := &scenario{t: t, now: time.Unix(1000, 0)}
	if len(stages) == 0 {
		return s
	}
	s.m = New("e-1", Plan{Stages: stages, Deadline: time.Second}, services, DefaultRules())
	s.start()
	return s
}

// start starts the request and lets its checks of later stages pass.
func (s *scenario) start() {
	s.actions = s.m.Start(s.now)
	s.passChecks(s.actions)
}

// passChecks reports that later stages can finish in time, unless refuseChecks is
// set.
func (s *scenario) passChecks(actions []Action) {
	for _, a := range actions {
		if c, ok := a.(Choose); ok && c.Check && !s.refuseChecks {
			s.handle(Chosen{Attempt: c.Attempt})
		}
	}
}

// handle passes events to the machine at the current time.
func (s *scenario) handle(events ...Event) {
	for _, e := range events {
		actions := s.m.Handle(s.now, e)
		s.actions = append(s.actions, actions...)
		s.passChecks(actions)
	}
}

// wait advances the time, with a Tick whenever the machine's Wake is due.
func (s *scenario) wait(d time.Duration) {
	end := s.now.Add(d)
	for wake := s.m.Wake(); !s.m.Answered() && !wake.After(end); wake = s.m.Wake() {
		s.now = wake
		s.handle(Tick{})
	}
	s.now = end
	s.handle(Tick{})
}

// actionsOf returns the actions of type T so far.
func actionsOf[T Action](s *scenario) []T {
	var found []T
	for _, a := range s.actions {
		if one, ok := a.(T); ok {
			found = append(found, one)
		}
	}
	return found
}

// done returns the closing event of an attempt with the given chunks.
func done(id AttemptID, chunks ...string) Done {
	digest := xxhash.New()
	for _, c := range chunks {
		digest.WriteString(c)
	}
	return Done{Attempt: id, Chunks: uint64(len(chunks)), Digest: digest.Sum64()}
}

// outcome returns the answer, of which there must be exactly one.
func (s *scenario) outcome() Answer {
	s.t.Helper()
	answers := actionsOf[Answer](s)
	assert.Equal(s.t, len(answers), 1)
	return answers[0]
}

var (
	encode   = Stage{Name: "encode", Service: "encoders"}
	generate = Stage{Name: "generate", Service: "llm", Resumable: true}
	pay      = Stage{Name: "pay", Service: "tesoreria", NonIdempotent: true}
)

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	stages := []Stage{{Service: "x", Declared: 60 * time.Millisecond}, {Service: "x", Declared: 40 * time.Millisecond}}
	s := newScenario(t, fixedEstimate{})
	start := func(deadline time.Duration) {
		s.m = New("e-1", Plan{Stages: stages, Deadline: deadline}, fixedEstimate{}, DefaultRules())
		s.start()
	}
	start(89 * time.Millisecond)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(actionsOf[Choose](s)), 0)
	// The measured medians don't fit, but the declared ones do: the request goes to
	// the router, whose probes decide.
	start(91 * time.Millisecond)
	first := actionsOf[Choose](s)[len(actionsOf[Choose](s))-1]
	assert.Equal(t, first.Stage, 0)
	assert.Equal(t, first.Remaining, 51*time.Millisecond)
}

func TestStageMeasuredAsTooSlowGetsOneTrial(t *testing.T) {
	declared := Stage{Name: "x", Service: "x", Declared: 60 * time.Millisecond}
	slow := NotChosen{Attempt: 0, LackOfTime: true, RetryAfter: DefaultRules().MaxTrialWait}
	s := newScenario(t, fixedEstimate{}, declared)
	s.handle(slow)
	assert.Equal(t, actionsOf[Choose](s)[1].Remaining, time.Duration(0))
	s.handle(slow)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	s = newScenario(t, fixedEstimate{empty: true}, declared)
	s.handle(slow)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	queue := slow
	queue.RetryAfter++
	s = newScenario(t, fixedEstimate{}, declared)
	s.handle(queue)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
}

func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0})
	s.wait(59 * time.Millisecond)
	assert.Equal(t, len(actionsOf[Choose](s)), 1)
	s.wait(2 * time.Millisecond)
	hedge := actionsOf[Choose](s)[1]
	assert.Assert(t, hedge.Hedge)
	assert.DeepEqual(t, hedge.Exclude, []core.UpstreamID{"a"})
	s.handle(Chosen{Attempt: 1, Upstream: "b"}, Chunk{Attempt: 1, Index: 0, Data: []byte("x")})
	assert.DeepEqual(t, actionsOf[Cancel](s), []Cancel{{Attempt: 0, Reason: CancelHedgeLost, Detail: "another attempt was faster"}})
	s.handle(Chunk{Attempt: 0, Index: 0, Data: []byte("y")}, done(1, "x"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Equal(t, len(actionsOf[Emit](s)), 1)
}

func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0}, Chunk{Attempt: 0, Index: 0, Data: []byte("x")})
	s.wait(latency.ChunkGapTimeout(fixedEstimate{}.Estimate("")))
	assert.Equal(t, actionsOf[Cancel](s)[0].Reason, CancelSuperseded)
	s.handle(Chosen{Attempt: 1, Upstream: "b"})
	run := actionsOf[Run](s)[1]
	assert.Equal(t, run.Cause, CauseResume)
	assert.Equal(t, run.Resume, 1)
	s.handle(Chunk{Attempt: 1, Index: 0, Data: []byte("y")}, done(1, "y"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Equal(t, len(actionsOf[Emit](s)), 2)
}

// noEstimate is a Services without an estimate for any service.
type noEstimate struct{ fixedEstimate }

func (noEstimate) Estimate(string) latency.Estimate { return latency.Estimate{} }

func TestSilenceBoundLeavesTimeForAnotherAttempt(t *testing.T) {
	s := newScenario(t, noEstimate{}, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0})
	s.wait(300 * time.Millisecond)
	assert.Equal(t, len(actionsOf[Cancel](s)), 0)
	s.wait(40 * time.Millisecond)
	assert.Equal(t, len(actionsOf[Cancel](s)), 1)
	assert.Equal(t, len(actionsOf[Choose](s)), 2)
}

func TestSilenceBoundDoublesWithEachStalledAttempt(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode)
	s.m = New("e-1", Plan{Stages: []Stage{encode}, Deadline: time.Minute}, fixedEstimate{}, DefaultRules())
	s.start()
	bound := latency.FirstChunkTimeout(fixedEstimate{}.Estimate(""))
	id := AttemptID(0)
	for left := range 3 {
		s.handle(Chosen{Attempt: id, Upstream: "a"}, Started{Attempt: id})
		s.m.stages[0].hedged = true
		s.wait(bound<<left - 1)
		assert.Equal(t, len(actionsOf[Cancel](s)), left)
		s.wait(1)
		assert.Equal(t, len(actionsOf[Cancel](s)), left+1)
		id++
	}
}

func TestSilentSidecarIsReplaced(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"})
	s.wait(DefaultRules().PingAfter)
	s.handle(Pinged{Attempt: 0})
	assert.Equal(t, actionsOf[Cancel](s)[0].Reason, CancelSuperseded)
	last := actionsOf[Choose](s)[len(actionsOf[Choose](s))-1]
	assert.Assert(t, !last.Hedge)
}

func TestSilentSidecarIsKeptWithoutRetryBudget(t *testing.T) {
	s := newScenario(t, fixedEstimate{empty: true}, encode)
	s.handle(Chosen{Attempt: 0, Upstream: "a"})
	s.wait(DefaultRules().PingAfter)
	s.handle(Pinged{Attempt: 0})
	assert.Equal(t, len(actionsOf[Cancel](s)), 0)
	s.handle(Chunk{Attempt: 0, Index: 0, Data: []byte("x")}, done(0, "x"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
}

func TestCorruptOutputIsNotUsed(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Chunk{Attempt: 0, Index: 0, Data: []byte("x")}, done(0, "y"))
	assert.Equal(t, len(actionsOf[Acknowledge](s)), 0)
	s.handle(Chosen{Attempt: 2, Upstream: "b"})
	assert.Equal(t, actionsOf[Run](s)[1].Resume, 0)
	s.handle(Chunk{Attempt: 2, Index: 0, Data: []byte("z")}, done(2, "z"))
	assert.DeepEqual(t, s.m.Output(0), [][]byte{[]byte("z")})
}

func TestChoiceIsRetriedWhileNoUpstreamIsFit(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode)
	for tries := range DefaultRules().ChooseTries {
		s.handle(NotChosen{Attempt: 0, Detail: "none is fit"})
		assert.Equal(t, len(actionsOf[Answer](s)), 0)
		assert.Equal(t, actionsOf[Choose](s)[tries+1].After, DefaultRules().ChooseBackoff)
	}
	s.handle(NotChosen{Attempt: 0, Detail: "none is fit"})
	assert.Equal(t, s.outcome().Cause, GiveUpNoUpstream)
}

func TestLackOfTimeIsFinalOnceAnUpstreamRefusedForIt(t *testing.T) {
	late := NotChosen{Attempt: 1, LackOfTime: true, RetryAfter: time.Second}
	s := newScenario(t, fixedEstimate{}, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Refused{Attempt: 0, LackOfTime: true}, late)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	s = newScenario(t, fixedEstimate{}, generate)
	s.handle(Chosen{Attempt: 0, Upstream: "a"}, Refused{Attempt: 0}, late)
	assert.Equal(t, len(actionsOf[Answer](s)), 0, "the excluded upstream may have time")
	assert.Equal(t, len(actionsOf[Choose](s)), 3)
}

// TestLaterStagesAreCheckedBeforeDispatch refuses a request whose last stage can't
// finish in time, at admission and before a stage that must run at most once.
func TestLaterStagesAreCheckedBeforeDispatch(t *testing.T) {
	full := NotChosen{LackOfTime: true, RetryAfter: time.Second, Detail: "full"}
	s := &scenario{t: t, now: time.Unix(1000, 0), refuseChecks: true}
	s.m = New("e-1", Plan{Stages: []Stage{encode, pay, generate}, Deadline: time.Second}, fixedEstimate{}, DefaultRules())
	s.start()
	s.handle(Chosen{Attempt: 1, Upstream: "a"})
	assert.Equal(t, len(actionsOf[Run](s)), 0)
	check := actionsOf[Choose](s)[1]
	assert.Assert(t, check.Check)
	assert.Equal(t, check.Stage, 2)
	full.Attempt = check.Attempt
	s.handle(full)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(actionsOf[Run](s)), 0)

	s.m = New("e-1", Plan{Stages: []Stage{encode, pay, generate}, Deadline: time.Second}, fixedEstimate{}, DefaultRules())
	s.start()
	s.handle(Chosen{Attempt: 0, Upstream: "p"}, Claimed{Attempt: 0, Status: ClaimOwned}, Chosen{Attempt: 1}, Chosen{Attempt: 2})
	s.handle(Chunk{Attempt: 1, Index: 0, Data: []byte("x")}, done(1, "x"))
	again := actionsOf[Choose](s)[len(actionsOf[Choose](s))-1]
	assert.Assert(t, again.Check && again.Attempt != 2)
	full.Attempt = again.Attempt
	s.handle(full)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(actionsOf[Run](s)), 1)
}
