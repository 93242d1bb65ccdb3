package elapsed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trained returns an Estimator that has seen first requests whose times differ by up to 15 %, and a
// share of retries of clients that have used up a third of their time.
func trained(returning float64) *Estimator {
	random, e := rand.New(rand.NewPCG(1, 2)), &Estimator{}
	for range 500 {
		announced := 15 * time.Second * time.Duration(850+random.IntN(150)) / 1000
		if random.Float64() < returning {
			announced = announced * 2 / 3
		}
		e.Used(announced)
	}
	return e
}

func TestARetryIsRecognisedByTheTimeItAnnounces(t *testing.T) {
	for _, returning := range []float64{0, 0.1, 0.3} {
		e := trained(returning)
		used := e.Used(8 * time.Second)
		assert.Assert(t, used > 3*time.Second && used < 5*time.Second, "%.0f %%: %s", 100*returning, used)
	}
}

func TestFirstRequestsHaveUsedNothing(t *testing.T) {
	e := trained(0)
	for ms := 12750; ms <= 15000; ms += 50 {
		assert.Equal(t, e.Used(time.Duration(ms)*time.Millisecond), time.Duration(0))
	}
}

func TestNoEstimateIfClientsDifferMuch(t *testing.T) {
	random, e := rand.New(rand.NewPCG(3, 4)), &Estimator{}
	for range 500 {
		e.Used(time.Duration(1000+random.IntN(14000)) * time.Millisecond)
	}
	assert.Equal(t, e.Used(time.Second), time.Duration(0))
}

func TestNoEstimateBeforeEnoughSamples(t *testing.T) {
	e := &Estimator{}
	for range minSamples - 1 {
		e.Used(15 * time.Second)
	}
	assert.Equal(t, e.Used(0), time.Duration(0), "a client that announces nothing")
	assert.Equal(t, (&Estimator{}).Used(time.Second), time.Duration(0))
}

func TestChangedTimesAreLearned(t *testing.T) {
	e := trained(0)
	for range 2 * maxSamples {
		e.Used(5 * time.Second)
	}
	assert.Equal(t, e.Used(5*time.Second), time.Duration(0))
}
