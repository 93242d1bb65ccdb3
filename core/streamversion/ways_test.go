package streamversion

import (
	"testing"

	"gotest.tools/v3/assert"
)

// lose ends the gateways at some places while two versions serve, and returns the share of the streams taken up that
// go on.
func lose(gateways, copies int, places []int) float64 {
	went, takenUp := 0, 0
	for seed := range uint64(modelSeeds) {
		w := newWorld(seed, gateways, nothing)
		w.copies = copies
		w.now += inTouchAfter
		w.learnAll()
		w.addVersion()
		w.learnAll()
		for range 4 {
			w.beginMany()
		}
		for _, place := range places {
			w.restart(place, false)
			w.gateways[place].frozenUntil = w.now + calmStep
		}
		w.takeUpAll()
		went, takenUp = went+w.went, takenUp+w.takenUp
	}
	return float64(went) / float64(takenUp)
}

// firstPlaces returns a number of places, each step apart.
func firstPlaces(count, step int) []int {
	places := make([]int, count)
	for i := range places {
		places[i] = i * step
	}
	return places
}

// TestWays logs what is lost with gateways by the number of copies of a record; none is a table in one process, of which
// other gateways are asked as well. With Copies, at least half goes on in each case, as promised to clients.
func TestWays(t *testing.T) {
	for _, copies := range []int{0, 1, 2, 3, 4} {
		least := min(lose(5, copies, firstPlaces(1, 1)), lose(5, copies, firstPlaces(2, 1)), lose(12, copies, firstPlaces(4, 3)), lose(5, copies, firstPlaces(4, 1)), lose(100, copies, firstPlaces(50, 1)))
		assert.Check(t, copies < Copies || least >= 0.5, "%d copies: %.2f go on", copies, least)
		assert.Check(t, copies > 0 || least < 0.5, "a table in one process is enough, so that the courses try nothing")
		t.Logf("%d copies: 1 of 5 lost %.2f, 2 of 5 %.2f, a zone of 12 %.2f, 4 of 5 %.2f, half of 100 %.2f go on", copies, lose(5, copies, firstPlaces(1, 1)), lose(5, copies, firstPlaces(2, 1)),
			lose(12, copies, firstPlaces(4, 3)), lose(5, copies, firstPlaces(4, 1)), lose(100, copies, firstPlaces(50, 1)))
	}
}
