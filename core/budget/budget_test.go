package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core/budget"
)

// epoch is the start time of the tests.
var epoch = time.Unix(0, 0)

// rounding bounds the rounding error of the sum of floating-point tokens.
const rounding = 1e-6

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestNeverExceedsItsRatio draws random sequences of calls, extra calls and clock steps.
func TestNeverExceedsItsRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := budget.Limits{
			Ratio:          rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			FloorPerSecond: rapid.Float64Range(0, 2).Draw(t, "floor"),
			Burst:          rapid.Float64Range(0, 10).Draw(t, "burst"),
		}
		now, latest := epoch, epoch
		b := budget.New(limits, now)
		deposits, taken := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 200).Draw(t, "ms")) * time.Millisecond)
			latest = later(latest, now)
			if rapid.Bool().Draw(t, "extra") {
				if b.Withdraw(now) {
					taken++
				}
				continue
			}
			b.Deposit(now)
			deposits++
		}
		allowed := limits.Burst + limits.Ratio*float64(deposits) + limits.FloorPerSecond*latest.Sub(epoch).Seconds()
		assert.Assert(t, float64(taken) <= allowed+rounding, "took %d of %.2f", taken, allowed)
	})
}

// TestRatioWithoutTime checks the exact count of extra calls when no time passes.
func TestRatioWithoutTime(t *testing.T) {
	b := budget.New(budget.Limits{Ratio: 0.02, FloorPerSecond: 1, Burst: 2}, epoch)
	taken := 0
	for range 1000 {
		b.Deposit(epoch)
		if b.Withdraw(epoch) {
			taken++
		}
	}
	// 2 from the burst and 0.02 × 1000, less the first deposit, which finds the bucket full.
	assert.Equal(t, taken, 21)
}

// TestFloorLetsAnIdleEntryRetry checks that time alone refills the bucket, up to the burst.
func TestFloorLetsAnIdleEntryRetry(t *testing.T) {
	b := budget.New(budget.Limits{FloorPerSecond: 0.2, Burst: 1}, epoch)
	assert.Assert(t, b.Withdraw(epoch))
	assert.Assert(t, !b.Withdraw(epoch.Add(4*time.Second)))
	assert.Assert(t, b.Withdraw(epoch.Add(6*time.Second)))
	assert.Assert(t, !b.Withdraw(epoch.Add(6*time.Second)))
	assert.Assert(t, b.Withdraw(epoch.Add(time.Hour)))
	assert.Assert(t, !b.Withdraw(epoch.Add(time.Hour)))
}

// TestClockGoingBackTakesNothing checks that a clock that goes back removes no tokens.
func TestClockGoingBackTakesNothing(t *testing.T) {
	b := budget.New(budget.Limits{FloorPerSecond: 1, Burst: 1}, epoch)
	assert.Assert(t, b.Withdraw(epoch.Add(-time.Hour)))
	assert.Assert(t, !b.Withdraw(epoch))
}
