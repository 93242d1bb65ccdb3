package routing

import (
	"math"
	"time"
)

// Constants of the failure ratio and of the decay of service times.
const (
	// failureWindow is the number of recent attempts that dominate the failure ratio.
	failureWindow = 20
	// failureHalfLife is the half-life of the failure ratio of an upstream that finishes
	// nothing. The ratio decays so that the upstream is eventually tried again.
	failureHalfLife = 5 * time.Second
	// quantileHalfLife is the half-life with which the reported service times of an idle
	// upstream decay towards the usual ones of the service.
	quantileHalfLife = 5 * time.Second
)

// attemptStats follows the two counters that a sidecar reports: how many attempts ended,
// and how many of them failed. It also records when the last one ended, because the
// quantiles of an idle upstream are stale.
type attemptStats struct {
	finished, failed uint64
	// ratioAtFinish is the failure ratio at lastFinish.
	ratioAtFinish float64
	// lastFinish is when finished was last seen to rise.
	lastFinish time.Time
}

// observe applies newly reported counters. Counters that fell are those of a restarted
// sidecar.
func (a *attemptStats) observe(load Load, now time.Time) {
	if load.Finished < a.finished || load.Failed < a.failed {
		*a = attemptStats{}
	}
	ended := load.Finished - a.finished
	if ended == 0 {
		return
	}
	recent := min(1, float64(load.Failed-a.failed)/float64(ended))
	weight := min(1, float64(ended)/failureWindow)
	decayed := a.failureRatio(now)
	*a = attemptStats{
		finished:      load.Finished,
		failed:        load.Failed,
		ratioAtFinish: decayed + weight*(recent-decayed),
		lastFinish:    now,
	}
}

// failureRatio returns the recent share of failed attempts.
func (a *attemptStats) failureRatio(now time.Time) float64 {
	return a.ratioAtFinish * halfLifeDecay(now.Sub(a.lastFinish), failureHalfLife)
}

// decayToUsual returns the service time of an upstream. If the upstream has no pending
// work, the reported time decays towards the usual one of the service with the time since
// an attempt last ended there. Otherwise a straggler that gets no work would keep its slow
// quantiles and never be tried again.
func (a *attemptStats) decayToUsual(load Load, reported, usual time.Duration, now time.Time) time.Duration {
	if reported == 0 || usual == 0 {
		return max(reported, usual)
	}
	if load.Queued+load.InFlight > 0 {
		return reported
	}
	share := halfLifeDecay(now.Sub(a.lastFinish), quantileHalfLife)
	return usual + time.Duration(share*float64(reported-usual))
}

// halfLifeDecay returns 1 at age zero and halves with each half-life.
func halfLifeDecay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
