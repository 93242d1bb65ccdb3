package latency

import (
	"math"
	"time"
)

// Split returns the part of a request's remaining time that stage i may use. Each of the
// remaining stages gets its median time; the slack is what remains. The later stages keep a
// joint margin out of the slack, and stage i gets the rest. The margin is the root of the sum
// of their squared spreads, because stages are slow independently of one another. If the
// slack is less than the margin and the spread of stage i together, it is divided in
// proportion to these two.
//
// It returns false if the remaining stages do not fit even at their medians: the request
// cannot meet its deadline and should be refused before stage i costs anything.
func Split(remaining time.Duration, stages []Estimate, i int) (time.Duration, bool) {
	own := stages[i].median()
	later, margin := mediansAndMargin(stages[i+1:])
	slack := remaining - own - later
	if slack < 0 {
		return 0, false
	}
	reserve := min(margin, share(slack, margin, stages[i].spread()))
	return own + slack - reserve, true
}

// mediansAndMargin returns the summed medians of stages and their joint margin.
func mediansAndMargin(stages []Estimate) (medians, margin time.Duration) {
	squares := 0.0
	for _, stage := range stages {
		medians += stage.median()
		squares += math.Pow(float64(stage.spread()), 2)
	}
	return medians, time.Duration(math.Sqrt(squares))
}

// share returns the part of slack that margin gets when slack is divided in proportion to
// margin and spread.
func share(slack, margin, spread time.Duration) time.Duration {
	if margin <= 0 {
		return 0
	}
	fraction := float64(margin) / float64(margin+spread)
	return time.Duration(float64(slack) * fraction)
}
