package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// incarnation is the sidecar's incarnation in tests.
const incarnation core.Incarnation = 7

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// testBench drives a gate with a fake clock and a fake upstream that ends work only on
// request.
type testBench struct {
	t       *testing.T
	g       *Gate
	now     time.Duration
	created int
	started []core.AttemptKey
	refused map[core.AttemptKey]Action
	stopped map[core.AttemptKey]Cause
}

// newTestBench returns a test bench whose upstream has reported.
func newTestBench(t *testing.T, options Options) *testBench {
	options.Incarnation = incarnation
	if options.Capacity == 0 {
		options.Capacity = 1
	}
	b := &testBench{
		t:       t,
		g:       New(options),
		now:     time.Second,
		refused: map[core.AttemptKey]Action{},
		stopped: map[core.AttemptKey]Cause{},
	}
	b.g.ObserveReport(b.now, Report{})
	return b
}

// newAttempt returns an idempotent attempt with a new key and a distant deadline.
func (b *testBench) newAttempt(workspace string) Attempt {
	b.created++
	return Attempt{
		Key:       core.AttemptKey{Request: core.RequestID(fmt.Sprintf("r-%d", b.created)), Stage: "s", Number: 1, Side: incarnation},
		Workspace: workspace,
		Remaining: time.Hour,
		Weight:    1,
		Cost:      1,
	}
}

// newClaimedAttempt returns a claimed attempt whose ticket has the present time.
func (b *testBench) newClaimedAttempt() Attempt {
	attempt := b.newAttempt("w")
	attempt.Ticket = &Ticket{Nonce: uint64(b.created), Clock: b.now}
	return attempt
}

// submit submits attempt, follows it if it is admitted, and advances the gate.
func (b *testBench) submit(attempt Attempt) Decision {
	d := b.g.Submit(b.now, attempt)
	if d.Verdict == Admitted {
		b.g.Watch(attempt.Key)
	}
	b.advance(0)
	return d
}

// admit submits attempt and fails the test if it is not admitted.
func (b *testBench) admit(attempt Attempt) Attempt {
	b.t.Helper()
	d := b.submit(attempt)
	assert.Equal(b.t, d.Verdict, Admitted, "%+v", d)
	return attempt
}

// advance moves the clock and records the gate's actions.
func (b *testBench) advance(d time.Duration) []Action {
	b.now += d
	actions := b.g.Advance(b.now)
	for _, a := range actions {
		switch a.Kind {
		case ActionStart:
			b.started = append(b.started, a.Key)
		case ActionRefuse:
			b.refused[a.Key] = a
		case ActionStop:
			b.stopped[a.Key] = a.Cause
		}
	}
	assert.NilError(b.t, b.g.Fault())
	return actions
}

// finish ends a running attempt with a complete output.
func (b *testBench) finish(key core.AttemptKey) {
	b.g.Finish(b.now, key, Ending{Kind: EndDone, Cost: 1, Bytes: 10})
	b.advance(0)
}

// finishOldest moves the clock by d, ends the oldest running attempt and returns its
// key.
func (b *testBench) finishOldest(d time.Duration) core.AttemptKey {
	b.now += d
	key := b.g.running[0].key
	b.finish(key)
	return key
}

// measure runs n attempts of duration d each, so that the gate has latency samples.
func (b *testBench) measure(n int, d time.Duration) {
	for range n {
		b.admit(b.newAttempt("measure"))
		b.finishOldest(d)
	}
}
