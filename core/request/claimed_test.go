package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

func TestClaimedStageIsNeverHedgedOrLeft(t *testing.T) {
	s := begin(t, fixed{}, pay)
	s.tell(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimMine}, Started{Attempt: 0})
	s.wait(900 * time.Millisecond)
	assert.Equal(t, len(all[Run](s)), 1)
	assert.Equal(t, len(all[Choose](s)), 1)
	s.wait(100 * time.Millisecond)
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
	assert.Equal(t, len(all[Cancel](s)), 0)
}

func TestFrozenClaimedSideIsUnknownWithinPatience(t *testing.T) {
	s := begin(t, fixed{}, pay)
	s.m = New("e-1", Plan{Stages: []Stage{pay}, Deadline: time.Minute}, fixed{}, DefaultRules())
	s.start()
	s.tell(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimMine}, Started{Attempt: 0})
	began := s.now
	for i := 0; i < 100 && !s.m.Answered(); i++ {
		s.wait(DefaultRules().PingAfter)
		s.tell(Pinged{Attempt: 0})
	}
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
	assert.Assert(t, s.now.Sub(began) <= DefaultRules().ClaimedPatience+2*DefaultRules().PingAfter)
	assert.Equal(t, len(all[Run](s)), 1)
}

func TestKeptResultIsNotRunAgain(t *testing.T) {
	s := begin(t, fixed{}, cheap, pay, generate)
	s.tell(Chosen{Attempt: 1, Upstream: "b"}, Chosen{Attempt: 0, Upstream: "a"})
	kept := [][]byte{[]byte("paid")}
	s.tell(Claimed{Attempt: 0, Status: ClaimDone, Chunks: kept})
	assert.DeepEqual(t, s.m.Output(1), kept)
	assert.Equal(t, all[Cancel](s)[0].Stage, 0)
	assert.Equal(t, len(all[Finish](s)), 1)
	s.tell(Chosen{Attempt: 3, Upstream: "c"})
	assert.Equal(t, all[Run](s)[1].Stage, 2)
	s.tell(Chunk{Attempt: 3, Index: 0, Data: []byte("x")}, done(3, "x"), Finished{Attempt: 0, Recorded: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeAnswered)
	assert.Assert(t, s.m.Over())
}

func TestStoreDownIsNotRun(t *testing.T) {
	s := begin(t, fixed{}, cheap, pay)
	s.tell(Chosen{Attempt: 1, Upstream: "b"}, Chosen{Attempt: 0, Upstream: "a"})
	s.tell(Claimed{Attempt: 0, Status: ClaimUnavailable, Detail: "down"})
	assert.Equal(t, len(all[Answer](s)), 0, "the encoder may still start")
	s.tell(Cancelled{Attempt: 1, Confirmed: true, Started: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
}

func TestClaimedAttemptNotStartedByTheDeadlineIsNotRun(t *testing.T) {
	s := begin(t, fixed{}, pay)
	s.tell(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimMine})
	s.wait(time.Second - DefaultRules().SettleMargin)
	assert.Equal(t, all[Cancel](s)[0].Reason, CancelDeadline)
	s.tell(Cancelled{Attempt: 0, Confirmed: true})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeNotRun)
	assert.Equal(t, len(all[Release](s)), 1)
}

func TestLaterFailureBehindClaimedStageIsUnknown(t *testing.T) {
	s := begin(t, fixed{empty: true}, pay, generate)
	s.tell(Chosen{Attempt: 0}, Claimed{Attempt: 0, Status: ClaimMine})
	s.tell(Chunk{Attempt: 0, Index: 0, Data: []byte("p")}, done(0, "p"), Finished{Attempt: 0, Recorded: true})
	assert.Equal(t, len(all[Acknowledge](s)), 1)
	s.tell(Chosen{Attempt: 2}, Failed{Attempt: 2, Detail: "broke"})
	assert.Equal(t, s.outcome().Outcome, core.OutcomeUnknown)
}
