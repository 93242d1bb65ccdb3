package retryafter

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replies is a refused request of a route with a deadline of 6 s and a chain of three pools.
var replies = Refusal{ID: "r-1", Remaining: 6 * time.Second, Chain: 900 * time.Millisecond, Estimate: 3200 * time.Millisecond}

// between checks that a value is at most the expected one, and less by no more than the spread.
func between(t *testing.T, value, expected time.Duration) {
	t.Helper()
	assert.Assert(t, value <= expected && value >= expected-expected/spreadPart, "%v against %v", value, expected)
}

func TestTheOwnersTimeIsUsedWhereClientsHonourIt(t *testing.T) {
	r := replies
	r.Room = 1200 * time.Millisecond
	between(t, Value(r), r.Room)
	r.Room = 5 * time.Second
	between(t, Value(r), 2*time.Second)
}

// TestWithoutRoomTheClientReturnsWhileItCanStillBeServed guards against clients that return when even an
// idle fleet could not serve them.
func TestWithoutRoomTheClientReturnsWhileItCanStillBeServed(t *testing.T) {
	r := replies
	r.NoRoom = true
	between(t, Value(r), 2*time.Second)
	r.Remaining = 1200 * time.Millisecond
	between(t, Value(r), 300*time.Millisecond)
	r.Remaining, r.Estimate = 800*time.Millisecond, 200*time.Millisecond
	between(t, Value(r), 200*time.Millisecond)
}

func TestWithoutAForecastTheEstimateIsUsedUpToWhatClientsHonour(t *testing.T) {
	r := replies
	between(t, Value(r), 2*time.Second)
	r.Estimate = 700 * time.Millisecond
	between(t, Value(r), 700*time.Millisecond)
	r.Remaining = -time.Second
	assert.Equal(t, Value(r), time.Duration(0))
}

// TestClientsRefusedTogetherAreSpread replays 300 clients that are refused at the same time: without
// spread they would form the next burst. No tenth of the spread may get more than twice its part.
func TestClientsRefusedTogetherAreSpread(t *testing.T) {
	const clients, parts = 300, 10
	seen := make(map[time.Duration]bool)
	var counts [parts]int
	for i := range clients {
		r := replies
		r.ID = "r-" + strconv.Itoa(i)
		r.NoRoom = true
		value := Value(r)
		between(t, value, 2*time.Second)
		seen[value] = true
		counts[min(parts-1, int((2*time.Second-value)*parts/(2*time.Second/spreadPart)))]++
	}
	for _, count := range counts {
		assert.Assert(t, count <= 2*clients/parts, "%v", counts)
	}
	assert.Assert(t, len(seen) > clients*9/10, "%d different values", len(seen))
}
