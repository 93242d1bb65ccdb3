package pipeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/request"
)

// fakePermit is decided when the test closes its channel.
type fakePermit struct {
	decided chan struct{}
	refusal *PermitRefusal
}

func (p *fakePermit) Decided() <-chan struct{} { return p.decided }
func (p *fakePermit) Refusal() *PermitRefusal  { return p.refusal }

// TestRefusedPermitReachesNoUpstream refuses before anything is chosen.
func TestRefusedPermitReachesNoUpstream(t *testing.T) {
	a, b := startSide(t, "a"), startSide(t, "b")
	bench := newBench(t, map[string][]*fakeSide{"encode": {a}, "pay": {b}})
	r := bench.request(encode, pay)
	permit := &fakePermit{decided: make(chan struct{}), refusal: &PermitRefusal{Detail: "full", RetryAfter: time.Second}}
	close(permit.decided)
	r.Permit = permit
	result := bench.run(t.Context(), r)
	assert.DeepEqual(t, result, Result{
		Outcome: core.OutcomeNotRun, Cause: request.GiveUpLimit, Step: request.StepLimit, Detail: "full", RetryAfter: time.Second,
	})
	bench.runner.flows.Wait()
	assert.Equal(t, len(a.runs)+len(b.runs)+bench.claims.opened, 0)
}

// TestLatePermitHoldsBackAllButTheFirstStage decides only when the first stage is
// done: whatever is behind it waits, and a refusal is still told as not run.
func TestLatePermitHoldsBackAllButTheFirstStage(t *testing.T) {
	for _, refusal := range []*PermitRefusal{nil, {Detail: "full"}} {
		a, b := startSide(t, "a"), startSide(t, "b")
		bench := newBench(t, map[string][]*fakeSide{"encode": {a}, "pay": {b}})
		r := bench.request(encode, pay)
		permit := &fakePermit{decided: make(chan struct{}), refusal: refusal}
		r.Permit = permit
		ended := make(chan Result, 1)
		go func() { ended <- bench.run(t.Context(), r) }()
		await(t, a.acks)
		assert.Equal(t, bench.claims.openedSoFar(), 0)
		close(permit.decided)
		result := await(t, ended)
		if refusal == nil {
			assert.Equal(t, result.Outcome, core.OutcomeAnswered)
			await(t, bench.claims.finishes)
			continue
		}
		assert.Equal(t, result.Outcome, core.OutcomeNotRun)
		assert.Equal(t, result.Cause, request.GiveUpLimit)
		assert.Equal(t, len(b.runs)+bench.claims.openedSoFar(), 0)
	}
}

// openedSoFar returns how many claims were opened.
func (c *fakeClaims) openedSoFar() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
