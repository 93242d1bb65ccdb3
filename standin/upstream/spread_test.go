package upstream_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/upstream"
)

func TestSpreadKeepsTheMean(t *testing.T) {
	const draws = 10_000
	spread := upstream.NewSpread(0.5, "u")
	same := upstream.NewSpread(0.5, "u")
	total := time.Duration(0)
	for range draws {
		drawn := spread.Draw(time.Second)
		assert.Equal(t, drawn, same.Draw(time.Second))
		assert.Assert(t, drawn >= time.Second/2)
		total += drawn
	}
	mean := total.Seconds() / draws
	// Five standard deviations of the mean.
	assert.Assert(t, math.Abs(mean-1) < 5*0.5/math.Sqrt(draws), "mean %v", mean)
	assert.Equal(t, (*upstream.Spread)(nil).Draw(time.Second), time.Second)
}
