package elapsed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learned returns an Estimator that has seen first requests whose times differ by a seventh,
// and among them some of clients that came back after a third of their time.
func learned(returning float64) *Estimator {
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

func TestAClientThatComesBackIsKnownByTheTimeItAnnounces(t *testing.T) {
	for _, returning := range []float64{0, 0.1, 0.3} {
		e := learned(returning)
		used := e.Used(8 * time.Second)
		assert.Assert(t, used > 3*time.Second && used < 5*time.Second, "%.0f %%: %s", 100*returning, used)
	}
}

func TestFirstRequestsHaveUsedNothing(t *testing.T) {
	e := learned(0)
	for ms := 12750; ms <= 15000; ms += 50 {
		assert.Equal(t, e.Used(time.Duration(ms)*time.Millisecond), time.Duration(0))
	}
}

func TestNothingIsSaidOfClientsThatDifferMuch(t *testing.T) {
	random, e := rand.New(rand.NewPCG(3, 4)), &Estimator{}
	for range 500 {
		e.Used(time.Duration(1000+random.IntN(14000)) * time.Millisecond)
	}
	assert.Equal(t, e.Used(time.Second), time.Duration(0))
}

func TestNothingIsSaidBeforeEnoughIsKnown(t *testing.T) {
	e := &Estimator{}
	for range fewest - 1 {
		e.Used(15 * time.Second)
	}
	assert.Equal(t, e.Used(0), time.Duration(0), "a client that announces nothing")
	assert.Equal(t, (&Estimator{}).Used(time.Second), time.Duration(0))
}

func TestChangedTimesAreLearned(t *testing.T) {
	e := learned(0)
	for range 2 * remembered {
		e.Used(5 * time.Second)
	}
	assert.Equal(t, e.Used(5*time.Second), time.Duration(0))
}
