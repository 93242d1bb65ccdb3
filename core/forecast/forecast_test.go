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

// newForecast returns a forecast of a pool with the given load for a time.
func newForecast(share float64, length time.Duration) (*Forecast, time.Time) {
	f := New()
	f.SetFullRate(fullRate)
	return f, load(f, share, start, length)
}

// TestFreeCapacityRemainsInABurst guards against dropping late work in a burst of 6 s, although
// the pool can do it soon after.
func TestFreeCapacityRemainsInABurst(t *testing.T) {
	f, at := newForecast(0.6, time.Minute)
	assert.Assert(t, f.Free(at) > 0.35*fullRate, "%.0f", f.Free(at))
	for range 6 {
		at = load(f, 1.4, at, time.Second)
		assert.Assert(t, f.Free(at) > 0.2*fullRate, "%.0f", f.Free(at))
	}
	at = load(f, 0.6, at, 31*time.Second)
	assert.Assert(t, f.Free(at) > 0.35*fullRate, "%.0f", f.Free(at))
}

// TestNothingIsFreeInAnOverloadThatLasts guards against keeping clients waiting for capacity that
// never becomes free.
func TestNothingIsFreeInAnOverloadThatLasts(t *testing.T) {
	f, at := newForecast(0.6, time.Minute)
	at = load(f, 1.4, at, 16*time.Second)
	assert.Equal(t, f.Free(at), 0.0)
	at = load(f, 1.4, at, time.Minute)
	assert.Equal(t, f.Free(at), 0.0)
}

// TestNewOwnerAssumesOnlyWhatItSeesIdle guards against an owner that has just started in a burst
// and takes its short history for spare capacity.
func TestNewOwnerAssumesOnlyWhatItSeesIdle(t *testing.T) {
	f, at := newForecast(1.4, 6*time.Second)
	assert.Assert(t, f.Known(at))
	assert.Equal(t, f.Free(at), 0.0)

	f, at = newForecast(0, 6*time.Second)
	assert.Equal(t, f.Free(at), 0.5*fullRate, "at most half is assumed")
	at = load(f, 0, at, window)
	assert.Equal(t, f.Free(at), float64(fullRate))

	f, at = newForecast(0, time.Second)
	assert.Assert(t, !f.Known(at) && f.Free(at) == 0)
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
}

// TestHistoryIsForgotten guards against demand from before a pause that counts again when the buckets
// are reused.
func TestHistoryIsForgotten(t *testing.T) {
	f, at := newForecast(1, window)
	assert.Equal(t, f.Free(at.Add(10*window)), float64(fullRate))
	assert.Assert(t, f.Free(at) >= 0, "time may go back")
}
