package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestClaimedStageIsNeverHedgedOrReplaced(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, pay)
	s.handle(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimOwned}, Started{Attempt: 0})
	s.wait(900 * time.Millisecond)
	assert.Equal(t, len(actionsOf[Run](s)), 1)
	assert.Equal(t, len(actionsOf[Choose](s)), 1)
	s.wait(100 * time.Millisecond)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
	assert.Equal(t, len(actionsOf[Cancel](s)), 0)
}

func TestSilentClaimedSidecarIsUnknownWithinTimeout(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, pay)
	s.m = New("e-1", Plan{Stages: []Stage{pay}, Deadline: time.Minute}, fixedEstimate{}, DefaultRules())
	s.start()
	s.handle(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimOwned}, Started{Attempt: 0})
	began := s.now
	for i := 0; i < 100 && !s.m.Answered(); i++ {
		s.wait(DefaultRules().PingAfter)
		s.handle(Pinged{Attempt: 0})
	}
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
	assert.Assert(t, s.now.Sub(began) <= DefaultRules().ClaimedSilenceTimeout+2*DefaultRules().PingAfter)
	assert.Equal(t, len(actionsOf[Run](s)), 1)
}

func TestStoredResultIsNotRunAgain(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode, pay, generate)
	s.handle(Chosen{Attempt: 1, Upstream: "b"}, Chosen{Attempt: 0, Upstream: "a"})
	kept := [][]byte{[]byte("paid")}
	s.handle(Claimed{Attempt: 0, Status: ClaimDone, Chunks: kept})
	assert.DeepEqual(t, s.m.Output(1), kept)
	assert.Equal(t, actionsOf[Cancel](s)[0].Stage, 0)
	assert.Equal(t, len(actionsOf[Finish](s)), 1)
	s.handle(Chosen{Attempt: 3, Upstream: "c"})
	assert.Equal(t, actionsOf[Run](s)[1].Stage, 2)
	s.handle(Chunk{Attempt: 3, Index: 0, Data: []byte("x")}, done(3, "x"), Finished{Attempt: 0, Recorded: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Assert(t, s.m.Finished())
}

func TestStoreDownIsNotRun(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, encode, pay)
	s.handle(Chosen{Attempt: 1, Upstream: "b"}, Chosen{Attempt: 0, Upstream: "a"})
	s.handle(Claimed{Attempt: 0, Status: ClaimUnavailable, Detail: "down"})
	assert.Equal(t, len(actionsOf[Answer](s)), 0, "the encode stage may still start")
	s.handle(Cancelled{Attempt: 1, Confirmed: true, Started: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
}

func TestClaimedAttemptNotStartedByTheDeadlineIsNotRun(t *testing.T) {
	s := newScenario(t, fixedEstimate{}, pay)
	s.handle(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimOwned})
	s.wait(time.Second - DefaultRules().SettleMargin)
	assert.Equal(t, actionsOf[Cancel](s)[0].Reason, CancelDeadline)
	s.handle(Cancelled{Attempt: 0, Confirmed: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(actionsOf[Release](s)), 1)
}

func TestFailureAfterClaimedStageIsUnknown(t *testing.T) {
	s := newScenario(t, fixedEstimate{empty: true}, pay, generate)
	s.handle(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimOwned})
	s.handle(Chunk{Attempt: 0, Index: 0, Data: []byte("p")}, done(0, "p"), Finished{Attempt: 0, Recorded: true})
	assert.Equal(t, len(actionsOf[Acknowledge](s)), 1)
	s.handle(Chosen{Attempt: 2}, Failed{Attempt: 2, Detail: "broke"})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
}
