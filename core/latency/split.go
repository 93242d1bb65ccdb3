package latency

import (
	"math"
	"time"
)

// Split gives stage i its part of the time that remains of a request's deadline.
// The later stages keep their median times, and the slack is shared by spread:
// while there is enough of it, the later stages keep a joint margin of the root
// of their squared spreads (stages are slow independently of one another), and
// stage i gets all the rest.
//
// It returns false if the remaining stages don't fit even at their medians: the
// request can't make it and should be refused before stage i costs anything.
func Split(remaining time.Duration, stages []Estimate, i int) (time.Duration, bool) {
	own := stages[i].need()
	later, margin := laterNeeds(stages[i+1:])
	slack := remaining - own - later
	if slack < 0 {
		return 0, false
	}
	reserve := min(margin, share(slack, margin, stages[i].spread()))
	return own + slack - reserve, true
}

// laterNeeds returns the summed medians of stages and their joint margin.
func laterNeeds(stages []Estimate) (medians, margin time.Duration) {
	squares := 0.0
	for _, stage := range stages {
		medians += stage.need()
		squares += math.Pow(float64(stage.spread()), 2)
	}
	return medians, time.Duration(math.Sqrt(squares))
}

// share returns the part of slack that falls to margin when it is divided
// between margin and spread in proportion.
func share(slack, margin, spread time.Duration) time.Duration {
	if margin <= 0 {
		return 0
	}
	part := float64(margin) / float64(margin+spread)
	return time.Duration(float64(slack) * part)
}
