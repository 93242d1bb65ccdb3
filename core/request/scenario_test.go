package request

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// fixed is a Knowledge with one estimate for all services and full budgets,
// unless it is empty.
type fixed struct{ empty bool }

func (fixed) Estimate(string) latency.Estimate {
	return latency.Estimate{ServiceP50: 50 * time.Millisecond, ServiceP95: 80 * time.Millisecond, FirstP95: 60 * time.Millisecond, GapP95: 10 * time.Millisecond}
}
func (k fixed) RetryBudget(string) Budget { return k }
func (k fixed) HedgeBudget(string) Budget { return k }
func (fixed) Deposit(time.Time)           {}
func (k fixed) Withdraw(time.Time) bool   { return !k.empty }

// script drives a machine by hand.
type script struct {
	t   *testing.T
	m   *Machine
	now time.Time
	all []Action
	// refuseChecks leaves the look ahead to the test.
	refuseChecks bool
}

// begin starts a request of the given stages under a deadline of one second.
func begin(t *testing.T, know Knowledge, stages ...Stage) *script {
	s := &script{t: t, now: time.Unix(1000, 0)}
	if len(stages) == 0 {
		return s
	}
	s.m = New("e-1", Plan{Stages: stages, Deadline: time.Second}, know, DefaultRules())
	s.start()
	return s
}

// start starts the request and lets its look ahead pass.
func (s *script) start() {
	s.all = s.m.Start(s.now)
	s.passChecks(s.all)
}

// passChecks answers that later stages can be made.
func (s *script) passChecks(actions []Action) {
	for _, a := range actions {
		if c, ok := a.(Choose); ok && c.Check && !s.refuseChecks {
			s.tell(Chosen{Attempt: c.Attempt})
		}
	}
}

// tell hands in events at the present time.
func (s *script) tell(events ...Event) {
	for _, e := range events {
		actions := s.m.Handle(s.now, e)
		s.all = append(s.all, actions...)
		s.passChecks(actions)
	}
}

// wait lets time pass, with a tick at each wish of the machine.
func (s *script) wait(d time.Duration) {
	end := s.now.Add(d)
	for wake := s.m.Wake(); !s.m.Answered() && !wake.After(end); wake = s.m.Wake() {
		s.now = wake
		s.tell(Tick{})
	}
	s.now = end
	s.tell(Tick{})
}

// all returns the actions of one type so far.
func all[T Action](s *script) []T {
	var found []T
	for _, a := range s.all {
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

// outcome returns the only answer.
func (s *script) outcome() Answer {
	s.t.Helper()
	answers := all[Answer](s)
	assert.Equal(s.t, len(answers), 1)
	return answers[0]
}

var (
	cheap    = Stage{Name: "encode", Service: "encoders"}
	generate = Stage{Name: "generate", Service: "llm", Resumable: true}
	pay      = Stage{Name: "pay", Service: "tesoreria", NonIdempotent: true}
)

func TestRefusesWhatCannotMakeIt(t *testing.T) {
	stages := []Stage{{Service: "x", Declared: 60 * time.Millisecond}, {Service: "x", Declared: 40 * time.Millisecond}}
	s := begin(t, fixed{})
	start := func(deadline time.Duration) {
		s.m = New("e-1", Plan{Stages: stages, Deadline: deadline}, fixed{}, DefaultRules())
		s.start()
	}
	start(89 * time.Millisecond)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(all[Choose](s)), 0)
	// The measured medians don't fit, the declared ones do: the probes decide.
	start(91 * time.Millisecond)
	first := all[Choose](s)[len(all[Choose](s))-1]
	assert.Equal(t, first.Stage, 0)
	assert.Equal(t, first.Remaining, 51*time.Millisecond)
}

func TestSlowMeasureIsTriedAgain(t *testing.T) {
	declared := Stage{Name: "x", Service: "x", Declared: 60 * time.Millisecond}
	slow := NotChosen{Attempt: 0, Late: true, RetryAfter: DefaultRules().TrialWait}
	s := begin(t, fixed{}, declared)
	s.tell(slow)
	assert.Equal(t, all[Choose](s)[1].Remaining, time.Duration(0))
	s.tell(slow)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	s = begin(t, fixed{empty: true}, declared)
	s.tell(slow)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	queue := slow
	queue.RetryAfter++
	s = begin(t, fixed{}, declared)
	s.tell(queue)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
}

func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	s := begin(t, fixed{}, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0})
	s.wait(59 * time.Millisecond)
	assert.Equal(t, len(all[Choose](s)), 1)
	s.wait(2 * time.Millisecond)
	hedge := all[Choose](s)[1]
	assert.Assert(t, hedge.Hedge)
	assert.DeepEqual(t, hedge.Exclude, []core.UpstreamID{"a"})
	s.tell(Chosen{Attempt: 1, Upstream: "b"}, Chunk{Attempt: 1, Index: 0, Data: []byte("x")})
	assert.DeepEqual(t, all[Cancel](s), []Cancel{{Attempt: 0, Reason: CancelHedgeLost, Detail: "another attempt went ahead"}})
	s.tell(Chunk{Attempt: 0, Index: 0, Data: []byte("y")}, done(1, "x"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Equal(t, len(all[Emit](s)), 1)
}

func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	s := begin(t, fixed{}, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0}, Chunk{Attempt: 0, Index: 0, Data: []byte("x")})
	s.wait(latency.GapBound(fixed{}.Estimate("")))
	assert.Equal(t, all[Cancel](s)[0].Reason, CancelSuperseded)
	s.tell(Chosen{Attempt: 1, Upstream: "b"})
	run := all[Run](s)[1]
	assert.Equal(t, run.Cause, CauseResume)
	assert.Equal(t, run.Resume, 1)
	s.tell(Chunk{Attempt: 1, Index: 0, Data: []byte("y")}, done(1, "y"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Equal(t, len(all[Emit](s)), 2)
}

// unmeasured knows nothing of any service.
type unmeasured struct{ fixed }

func (unmeasured) Estimate(string) latency.Estimate { return latency.Estimate{} }

func TestSilenceLeavesRoomForAnotherAttempt(t *testing.T) {
	s := begin(t, unmeasured{}, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Started{Attempt: 0})
	s.wait(300 * time.Millisecond)
	assert.Equal(t, len(all[Cancel](s)), 0)
	s.wait(40 * time.Millisecond)
	assert.Equal(t, len(all[Cancel](s)), 1)
	assert.Equal(t, len(all[Choose](s)), 2)
}

func TestPatienceDoublesWithEachAttemptLeft(t *testing.T) {
	s := begin(t, fixed{}, cheap)
	s.m = New("e-1", Plan{Stages: []Stage{cheap}, Deadline: time.Minute}, fixed{}, DefaultRules())
	s.start()
	bound := latency.FirstBound(fixed{}.Estimate(""))
	id := AttemptID(0)
	for left := range 3 {
		s.tell(Chosen{Attempt: id, Upstream: "a"}, Started{Attempt: id})
		s.m.stages[0].hedged = true
		s.wait(bound<<left - 1)
		assert.Equal(t, len(all[Cancel](s)), left)
		s.wait(1)
		assert.Equal(t, len(all[Cancel](s)), left+1)
		id++
	}
}

func TestSilentSideIsLeft(t *testing.T) {
	s := begin(t, fixed{}, cheap, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"})
	s.wait(DefaultRules().PingAfter)
	s.tell(Pinged{Attempt: 0})
	assert.Equal(t, all[Cancel](s)[0].Reason, CancelSuperseded)
	last := all[Choose](s)[len(all[Choose](s))-1]
	assert.Assert(t, !last.Hedge)
}

func TestSilentSideIsKeptWithoutBudget(t *testing.T) {
	s := begin(t, fixed{empty: true}, cheap)
	s.tell(Chosen{Attempt: 0, Upstream: "a"})
	s.wait(DefaultRules().PingAfter)
	s.tell(Pinged{Attempt: 0})
	assert.Equal(t, len(all[Cancel](s)), 0)
	s.tell(Chunk{Attempt: 0, Index: 0, Data: []byte("x")}, done(0, "x"))
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
}

func TestCorruptOutputIsNotUsed(t *testing.T) {
	s := begin(t, fixed{}, cheap, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Chunk{Attempt: 0, Index: 0, Data: []byte("x")}, done(0, "y"))
	assert.Equal(t, len(all[Acknowledge](s)), 0)
	s.tell(Chosen{Attempt: 2, Upstream: "b"})
	assert.Equal(t, all[Run](s)[1].Resume, 0)
	s.tell(Chunk{Attempt: 2, Index: 0, Data: []byte("z")}, done(2, "z"))
	assert.DeepEqual(t, s.m.Output(0), [][]byte{[]byte("z")})
}

func TestUnfitUpstreamsAreAskedAgain(t *testing.T) {
	s := begin(t, fixed{}, cheap)
	for tries := range DefaultRules().ChooseTries {
		s.tell(NotChosen{Attempt: 0, Detail: "none is fit"})
		assert.Equal(t, len(all[Answer](s)), 0)
		assert.Equal(t, all[Choose](s)[tries+1].After, DefaultRules().ChooseBackoff)
	}
	s.tell(NotChosen{Attempt: 0, Detail: "none is fit"})
	assert.Equal(t, s.outcome().Cause, GiveUpNoUpstream)
}

func TestWantOfTimeIsFinalOnceAnUpstreamRefusedForIt(t *testing.T) {
	late := NotChosen{Attempt: 1, Late: true, RetryAfter: time.Second}
	s := begin(t, fixed{}, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Refused{Attempt: 0, Late: true}, late)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	s = begin(t, fixed{}, generate)
	s.tell(Chosen{Attempt: 0, Upstream: "a"}, Refused{Attempt: 0}, late)
	assert.Equal(t, len(all[Answer](s)), 0, "the one that is excluded may have time")
	assert.Equal(t, len(all[Choose](s)), 3)
}

// TestLooksAheadBeforeItDispatches refuses a request whose last stage can't be
// made, at its admission and before a stage that must run at most once.
func TestLooksAheadBeforeItDispatches(t *testing.T) {
	full := NotChosen{Late: true, RetryAfter: time.Second, Detail: "full"}
	s := &script{t: t, now: time.Unix(1000, 0), refuseChecks: true}
	s.m = New("e-1", Plan{Stages: []Stage{cheap, pay, generate}, Deadline: time.Second}, fixed{}, DefaultRules())
	s.start()
	s.tell(Chosen{Attempt: 1, Upstream: "a"})
	assert.Equal(t, len(all[Run](s)), 0)
	check := all[Choose](s)[1]
	assert.Assert(t, check.Check)
	assert.Equal(t, check.Stage, 2)
	full.Attempt = check.Attempt
	s.tell(full)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(all[Run](s)), 0)

	s.m = New("e-1", Plan{Stages: []Stage{cheap, pay, generate}, Deadline: time.Second}, fixed{}, DefaultRules())
	s.start()
	s.tell(Chosen{Attempt: 0, Upstream: "p"}, Claimed{Attempt: 0, Status: ClaimMine}, Chosen{Attempt: 1}, Chosen{Attempt: 2})
	s.tell(Chunk{Attempt: 1, Index: 0, Data: []byte("x")}, done(1, "x"))
	again := all[Choose](s)[len(all[Choose](s))-1]
	assert.Assert(t, again.Check && again.Attempt != 2)
	full.Attempt = again.Attempt
	s.tell(full)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(all[Run](s)), 1)
}
