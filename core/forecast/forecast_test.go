package forecast

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// fullRate is the full rate of the pool of the tests, in items a second.
	fullRate = 1000
	// step is the time between two arrivals of a load.
	step = 10 * time.Millisecond
)

// start is the start time of the tests.
var start = time.Unix(1000, 0)

// load offers a share of the full rate to a forecast for a time and returns its end.
func load(f *Forecast, share float64, from time.Time, length time.Duration) time.Time {
	perStep := int(share * fullRate * step.Seconds())
	for at := from; at.Before(from.Add(length)); at = at.Add(step) {
		f.Arrived(perStep, at)
		f.Completed(min(perStep, int(fullRate*step.Seconds())), at)
	}
	return from.Add(length)
}

// TestFreeFollowsTheLoad guards against dropping late work in a burst of 6 s although the pool can do it soon after,
// against keeping clients waiting in an overload that lasts, and against a new owner that takes the little that
// it has seen for spare capacity.
func TestFreeFollowsTheLoad(t *testing.T) {
	type phase struct {
		share  float64
		length time.Duration
	}
	for name, c := range map[string]struct {
		phases    []phase
		low, high float64
	}{
		"base load":                {[]phase{{0.6, time.Minute}}, 0.39, 0.41},
		"half of a burst":          {[]phase{{0.6, time.Minute}, {1.4, 3 * time.Second}}, 0.3, 0.35},
		"end of a burst":           {[]phase{{0.6, time.Minute}, {1.4, 6 * time.Second}}, 0.2, 0.3},
		"after a burst":            {[]phase{{0.6, time.Minute}, {1.4, 6 * time.Second}, {0.6, 31 * time.Second}}, 0.39, 0.41},
		"16 s of overload":         {[]phase{{0.6, time.Minute}, {1.4, 16 * time.Second}}, 0, 0},
		"minutes of overload":      {[]phase{{1.4, 3 * time.Minute}}, 0, 0},
		"new owner in an overload": {[]phase{{1.4, 6 * time.Second}}, 0, 0},
		"new owner, idle":          {[]phase{{0, 6 * time.Second}}, maxUnprovenShare, maxUnprovenShare},
		"new owner, too soon":      {[]phase{{0, time.Second}}, 0, 0},
		"idle for a window":        {[]phase{{0, window + time.Second}}, 1, 1},
	} {
		f, at := New(), start
		f.SetFullRate(fullRate)
		for _, p := range c.phases {
			at = load(f, p.share, at, p.length)
		}
		free := f.Free(at) / fullRate
		assert.Assert(t, free >= c.low && free <= c.high, "%s: %.2f", name, free)
	}
}

// TestWorkDoneTwiceCountsAsDemand guards against a forecast that counts a returning request once
// although the pool did its work twice.
func TestWorkDoneTwiceCountsAsDemand(t *testing.T) {
	f := New()
	f.SetFullRate(fullRate)
	at := start
	for ; at.Before(start.Add(window)); at = at.Add(step) {
		f.Arrived(2, at)
		f.Completed(4, at)
	}
	assert.Assert(t, f.Free(at) < 0.65*fullRate, "%.0f", f.Free(at))
	assert.Equal(t, f.Free(at.Add(10*window)), float64(fullRate), "the buckets are cleared before they are used again")
}
