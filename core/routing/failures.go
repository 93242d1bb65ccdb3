package routing

import (
	"math"
	"time"
)

// Constants of the failure ratio.
const (
	// failureWindow is how many attempts the ratio mostly rests on.
	failureWindow = 20
	// failureHalfLife halves the ratio of an upstream that finishes nothing, so
	// that it is tried again some time.
	failureHalfLife = 5 * time.Second
	// quantileHalfLife does the same with the reported service times.
	quantileHalfLife = 5 * time.Second
)

// progress follows the two counters that a side reports: how many attempts
// ended and how many of them failed. It also tells how long nothing has ended,
// because quantiles of an idle upstream are old news.
type progress struct {
	finished, failed uint64
	ratio            float64
	// moved is when finished was last seen to rise.
	moved time.Time
}

// observe takes over newly reported counters.
func (p *progress) observe(load Load, now time.Time) {
	if load.Finished < p.finished || load.Failed < p.failed {
		*p = progress{}
	}
	ended := load.Finished - p.finished
	if ended == 0 {
		return
	}
	recent := min(1, float64(load.Failed-p.failed)/float64(ended))
	weight := min(1, float64(ended)/failureWindow)
	decayed := p.failureRatio(now)
	*p = progress{
		finished: load.Finished,
		failed:   load.Failed,
		ratio:    decayed + weight*(recent-decayed),
		moved:    now,
	}
}

// failureRatio returns the recent share of failures.
func (p *progress) failureRatio(now time.Time) float64 {
	return p.ratio * halved(now.Sub(p.moved), failureHalfLife)
}

// blend moves a service time of an upstream that holds no work and has finished
// nothing for long towards what its service usually takes. Without it a straggler
// that gets no work would keep its bad figures and never be tried again.
func (p *progress) blend(load Load, slow, usual time.Duration, now time.Time) time.Duration {
	if slow == 0 || usual == 0 {
		return max(slow, usual)
	}
	if load.Queued+load.InFlight > 0 {
		return slow
	}
	share := halved(now.Sub(p.moved), quantileHalfLife)
	return usual + time.Duration(share*float64(slow-usual))
}

// halved returns 1 at age zero and half as much after each half-life.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
