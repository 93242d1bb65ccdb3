package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// incarnation is the side's own in tests.
const incarnation core.Incarnation = 7

// ms returns n milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// bench drives a gate with a fake clock and a fake upstream that only ends work
// when it is told to.
type bench struct {
	t       *testing.T
	g       *Gate
	now     time.Duration
	next    int
	started []core.AttemptKey
	refused map[core.AttemptKey]Action
	stopped map[core.AttemptKey]Cause
}

// newBench returns a gate whose upstream has reported.
func newBench(t *testing.T, options Options) *bench {
	options.Incarnation = incarnation
	if options.Capacity == 0 {
		options.Capacity = 1
	}
	b := &bench{
		t:       t,
		g:       New(options),
		now:     time.Second,
		refused: map[core.AttemptKey]Action{},
		stopped: map[core.AttemptKey]Cause{},
	}
	b.g.ObserveReport(b.now, Report{})
	return b
}

// ask returns an idempotent ask with a new key and plenty of time.
func (b *bench) ask(workspace string) Ask {
	b.next++
	return Ask{
		Key:       core.AttemptKey{Request: core.RequestID(fmt.Sprintf("r-%d", b.next)), Stage: "s", Number: 1, Side: incarnation},
		Workspace: workspace,
		Remaining: time.Hour,
		Weight:    1,
		Cost:      1,
	}
}

// claimed returns a claimed ask whose ticket is from now.
func (b *bench) claimed() Ask {
	ask := b.ask("w")
	ask.Ticket = &Ticket{Nonce: uint64(b.next), Clock: b.now}
	return ask
}

// submit submits ask, follows it if it is admitted, and advances.
func (b *bench) submit(ask Ask) Decision {
	d := b.g.Submit(b.now, ask)
	if d.Verdict == Admitted {
		b.g.Watch(ask.Key)
	}
	b.advance(0)
	return d
}

// admit submits ask, which must be admitted.
func (b *bench) admit(ask Ask) Ask {
	b.t.Helper()
	d := b.submit(ask)
	assert.Equal(b.t, d.Verdict, Admitted, "%+v", d)
	return ask
}

// advance moves the clock and notes the actions.
func (b *bench) advance(d time.Duration) []Action {
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

// done ends a running attempt with a whole output.
func (b *bench) done(key core.AttemptKey) {
	b.g.Finish(b.now, key, Ending{Kind: EndDone, Cost: 1, Bytes: 10})
	b.advance(0)
}

// serve ends the oldest running attempt after d and returns its key.
func (b *bench) serve(d time.Duration) core.AttemptKey {
	b.now += d
	key := b.g.running[0].key
	b.done(key)
	return key
}

// measure lets the gate measure n attempts that take d each.
func (b *bench) measure(n int, d time.Duration) {
	for range n {
		b.admit(b.ask("measure"))
		b.serve(d)
	}
}
