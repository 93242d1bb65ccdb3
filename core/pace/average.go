package pace

import (
	"math"
	"time"
)

// average is a geometric mean of positive values whose weight decays with age. Response times are spread
// by factors, so that one value far above the others moves a geometric mean less than an arithmetic one.
type average struct {
	// logMean is the logarithm of the mean, weight the number of values it stood for at the time at.
	logMean, weight float64
	at              time.Time
}

// weightAt returns the weight that is left at a time.
func (a *average) weightAt(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(a.at)
	if a.weight == 0 || age <= 0 {
		return a.weight
	}
	return a.weight * math.Exp2(-float64(age)/float64(halfLife))
}

// add adds a value with a weight. The sum of the weights is bounded, so that new values always count.
func (a *average) add(value, weight float64, now time.Time, halfLife time.Duration, maxWeight float64) {
	if value <= 0 || weight <= 0 {
		return
	}
	weight = min(weight, maxWeight)
	old := min(a.weightAt(now, halfLife), maxWeight-weight)
	a.logMean = (a.logMean*old + math.Log(value)*weight) / (old + weight)
	a.weight = old + weight
	if now.After(a.at) {
		a.at = now
	}
}

// addAfterGap adds a pace. If it is the first one for rareAfter, as that of a trial of an excluded engine, what was
// known before counts half as much as it, so that one trial shows that an engine has recovered.
func (a *average) addAfterGap(value, weight float64, now time.Time) {
	if now.Sub(a.at) >= rareAfter {
		a.weight = min(a.weight, weight/2)
	}
	a.add(value, weight, now, halfLife, maxGapWeight)
}

// value returns the mean.
func (a *average) value() float64 { return math.Exp(a.logMean) }
