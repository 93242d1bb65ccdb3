package routing

import (
	"math/rand/v2"
	"time"
)

// Bounds of suspicion.
const (
	minSuspicion = 250 * time.Millisecond
	maxSuspicion = 10 * time.Second
	// suspicionJitter spreads the probes with which entries retry a suspected upstream: the
	// length is drawn from 1 ± suspicionJitter of its nominal value.
	suspicionJitter = 0.25
	// maxDoublings keeps a shift in range; maxSuspicion is reached before.
	maxDoublings = 16
)

// Cause is the kind of silence that made an upstream suspected.
type Cause string

// The causes of suspicion.
const (
	// SilentProbe: the sidecar did not reply to a probe. Any reply clears the suspicion.
	SilentProbe Cause = "silent_probe"
	// SilentWork: an attempt went silent before its end. The sidecar may go on replying to
	// probes, so the suspicion lasts its full length, and only finished work resets the
	// strikes.
	SilentWork Cause = "silent_work"
)

// Suspicion describes whether and for how long an upstream is avoided.
type Suspicion struct {
	Active bool
	Cause  Cause
	// Strikes counts the silences since the upstream last proved healthy.
	Strikes int
	// Until is when the upstream is due for a probe that may end the suspicion.
	Until time.Time
	// Length is the time from the last strike to Until.
	Length time.Duration
}

// strike returns the suspicion after another silence at now. Its nominal length doubles
// with each strike.
func (s Suspicion) strike(cause Cause, now time.Time, random *rand.Rand) Suspicion {
	nominal := min(maxSuspicion, minSuspicion<<min(s.Strikes, maxDoublings))
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

// afterReply returns the suspicion after the sidecar replied to a probe at now.
func (s Suspicion) afterReply(now time.Time) Suspicion {
	if s.Cause != SilentWork {
		return Suspicion{}
	}
	if now.Before(s.Until) {
		return s
	}
	s.Active = false
	return s
}
