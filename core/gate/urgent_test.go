package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAdmittedWorkThatIsOvertakenStillStartsInTime(t *testing.T) {
	b := newBench(t, Options{StarvationTurns: 1000})
	b.measure(5, ms(100))
	b.admit(b.ask("first"))
	low := b.ask("low")
	low.Remaining = ms(800)
	b.admit(low)
	for range 7 {
		high := b.ask("high")
		high.Priority = 1
		b.admit(high)
		b.serve(ms(100))
	}
	assert.Equal(t, len(b.refused), 0)
	assert.Assert(t, started(b, low), "only the higher class was served")
}

func TestUrgentWorkIsChargedToItsWorkspace(t *testing.T) {
	b := newBench(t, Options{StallMin: ms(5000)})
	b.measure(5, ms(100))
	b.admit(b.ask("first"))
	one, two, other := b.ask("w"), b.ask("w"), b.ask("other")
	two.Remaining = ms(700)
	b.admit(one)
	b.admit(two)
	b.advance(ms(580))
	b.admit(other)
	b.serve(0)
	assert.Assert(t, started(b, two), "the urgent attempt goes first")
	b.serve(ms(100))
	assert.Assert(t, started(b, other), "the urgent attempt counts as its workspace's turn")
	assert.Assert(t, !started(b, one))
}

// started tells whether the attempt of ask was started.
func started(b *bench, ask Ask) bool {
	for _, key := range b.started {
		if key == ask.Key {
			return true
		}
	}
	return false
}
