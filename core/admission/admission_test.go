package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecide guards against a request that keeps the first pools busy though it can't be served, and
// against the refusal of one that the pools would serve.
func TestDecide(t *testing.T) {
	const second = time.Second
	base := Forecast{Shortest: second, Waiting: 3 * second, Engine: second / 4, ToObjective: 2 * second, ToDeadline: 6 * second}
	for _, c := range []struct {
		name     string
		change   func(*Forecast)
		expected Verdict
	}{
		{"the first attempt of a client", func(*Forecast) {}, InTime},
		{"a burst whose newest tasks go first", func(f *Forecast) { f.Waiting = 8 * second }, InTime},
		{"a client that has returned after its objective", func(f *Forecast) { f.ToObjective, f.ToDeadline = -second, 4*second }, OnlyLate},
		{"its deadline is met exactly", func(f *Forecast) { f.ToObjective, f.ToDeadline = -second, 13*second/4 }, OnlyLate},
		{"its deadline is missed by the waits", func(f *Forecast) { f.ToObjective, f.ToDeadline = -second, 13*second/4-1 }, Never},
		{"the shortest times exceed the deadline", func(f *Forecast) { f.Waiting, f.ToDeadline = second, 5*second/4-1 }, Never},
	} {
		f := base
		c.change(&f)
		assert.Equal(t, Decide(f), c.expected, c.name)
	}
}

// TestAnIdlePoolAddsNoWait guards against the refusal of a request that a call with one item serves in time.
func TestAnIdlePoolAddsNoWait(t *testing.T) {
	const fullCall, shortest = 370 * time.Millisecond, 220 * time.Millisecond
	assert.Equal(t, StageTime(0, fullCall, shortest), shortest)
	assert.Equal(t, StageTime(fullCall, fullCall, shortest), shortest)
	assert.Equal(t, StageTime(time.Second, fullCall, shortest), 850*time.Millisecond)
}
