package pipeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/request"
)

// fakePermit is decided once the test closes its channel.
type fakePermit struct {
	decided chan struct{}
	refusal *PermitRefusal
}

func (p *fakePermit) Decided() <-chan struct{} { return p.decided }
func (p *fakePermit) Refusal() *PermitRefusal  { return p.refusal }

// TestRefusedPermitReachesNoUpstream checks that nothing is dispatched or claimed if
// the permit is refused before an upstream is chosen.
func TestRefusedPermitReachesNoUpstream(t *testing.T) {
	a, b := startSide(t, "a"), startSide(t, "b")
	h := newHarness(t, map[string][]*fakeSide{"encode": {a}, "pay": {b}})
	r := h.request(encode, pay)
	permit := &fakePermit{decided: make(chan struct{}), refusal: &PermitRefusal{Detail: "full", RetryAfter: time.Second}}
	close(permit.decided)
	r.Permit = permit
	result := h.run(t.Context(), r)
	assert.DeepEqual(t, result, Result{
		Outcome: core.OutcomeNotRun, Cause: request.GiveUpLimit, Step: request.StepLimit, Detail: "full", RetryAfter: time.Second,
	})
	h.runner.flows.Wait()
	assert.Equal(t, len(a.runs)+len(b.runs)+h.claims.opened, 0)
}

// TestLatePermitHoldsBackAllButTheFirstStage decides the permit after the first stage
// has completed. The later stages must wait for the decision, and a refusal must
// still be reported as not run.
func TestLatePermitHoldsBackAllButTheFirstStage(t *testing.T) {
	for _, refusal := range []*PermitRefusal{nil, {Detail: "full"}} {
		a, b := startSide(t, "a"), startSide(t, "b")
		h := newHarness(t, map[string][]*fakeSide{"encode": {a}, "pay": {b}})
		r := h.request(encode, pay)
		permit := &fakePermit{decided: make(chan struct{}), refusal: refusal}
		r.Permit = permit
		ended := make(chan Result, 1)
		go func() { ended <- h.run(t.Context(), r) }()
		receive(t, a.acks)
		assert.Equal(t, h.claims.openedCount(), 0)
		close(permit.decided)
		result := receive(t, ended)
		if refusal == nil {
			assert.Equal(t, result.Outcome, core.OutcomeAnswered)
			receive(t, h.claims.finishes)
			continue
		}
		assert.Equal(t, result.Outcome, core.OutcomeNotRun)
		assert.Equal(t, result.Cause, request.GiveUpLimit)
		assert.Equal(t, len(b.runs)+h.claims.openedCount(), 0)
	}
}

// openedCount returns the number of Open calls so far.
func (c *fakeClaims) openedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
