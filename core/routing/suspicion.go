package routing

import (
	"math/rand/v2"
	"time"
)

// Bounds of suspicion.
const (
	firstSuspicion   = 250 * time.Millisecond
	longestSuspicion = 10 * time.Second
	// suspicionJitter spreads the entries' attempts to come back: the time is
	// drawn from 1 ± suspicionJitter of its nominal length.
	suspicionJitter = 0.25
	// maxDoublings keeps a shift in range; the longest time is reached before.
	maxDoublings = 16
)

// Cause tells which silence made an upstream suspect.
type Cause string

// The causes of suspicion.
const (
	// SilentProbe: the side did not answer a probe. Any answer clears it.
	SilentProbe Cause = "silent_probe"
	// SilentWork: an attempt went silent in the middle. The side may answer
	// probes all the while, so the time must pass, and only finished work takes
	// back the strikes.
	SilentWork Cause = "silent_work"
)

// Suspicion says whether and for how long an upstream is avoided.
type Suspicion struct {
	Active bool
	Cause  Cause
	// Strikes counts the silences since the upstream last proved healthy.
	Strikes int
	// Until is when the upstream is due for a probe that may clear it.
	Until time.Time
	// Length is the time from the last strike to Until.
	Length time.Duration
}

// strike returns the suspicion after one more silence at now. Its length
// doubles with each.
func (s Suspicion) strike(cause Cause, now time.Time, random *rand.Rand) Suspicion {
	nominal := min(longestSuspicion, firstSuspicion<<min(s.Strikes, maxDoublings))
	factor := 1 - suspicionJitter + 2*suspicionJitter*random.Float64()
	length := time.Duration(float64(nominal) * factor)
	return Suspicion{
		Active:  true,
		Cause:   cause,
		Strikes: s.Strikes + 1,
		Until:   now.Add(length),
		Length:  length,
	}
}

// answered returns the suspicion after the side answered a probe at now.
func (s Suspicion) answered(now time.Time) Suspicion {
	if s.Cause != SilentWork {
		return Suspicion{}
	}
	if now.Before(s.Until) {
		return s
	}
	s.Active = false
	return s
}
