package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecide guards against a request that keeps the first pools busy though it can't be served, and
// against the refusal of one that the pools would serve late.
func TestDecide(t *testing.T) {
	const second = time.Second
	base := Forecast{Waits: second, Engine: second / 4, ToObjective: 2 * second, ToDeadline: 6 * second}
	for _, c := range []struct {
		name     string
		change   func(*Forecast)
		expected Verdict
	}{
		{"an idle chain", func(*Forecast) {}, InTime},
		{"the objective is missed by the waits", func(f *Forecast) { f.Waits = 2 * second }, OnlyLate},
		{"a client that has returned late", func(f *Forecast) { f.ToObjective, f.ToDeadline = -second, 2*second }, OnlyLate},
		{"exactly the deadline", func(f *Forecast) { f.ToObjective, f.ToDeadline = 0, 5*second/4 }, OnlyLate},
		{"the shortest times exceed the deadline", func(f *Forecast) { f.ToDeadline = 5*second/4 - 1 }, Never},
	} {
		f := base
		c.change(&f)
		assert.Equal(t, Decide(f), c.expected, c.name)
	}
}
