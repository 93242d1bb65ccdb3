package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowEngineIsKnownToProcessesThatNeverUsedIt passes digests over a Merger. It guards against a process that
// sends to a slow engine what others have found out.
func TestSlowEngineIsKnownToProcessesThatNeverUsedIt(t *testing.T) {
	r := newReplay(1, 2.4, isThird)
	merger, other := NewMerger(), NewTable("other")
	number := uint64(0)
	for range 10 {
		r.run(time.Second, all)
		merger.Merge(r.table.Digest(r.now), r.now)
		other.Apply(merger.Since(number, r.now), r.now)
		number = merger.Number()
	}
	assert.Equal(t, len(r.table.Digest(r.now)), 0, "each observation is sent once")
	for i := range engineCount {
		slow, _ := other.Slower(engineOf(i), r.now)
		assert.Equal(t, slow, isThird(i), "engine %d", i)
	}
	// The fourth figures of other processes count for one that has seen none.
	_, pause, _ := other.Expected(engineOf(0), 0, r.now)
	assert.Assert(t, pause > 2*noisePercent/100*usualGap, "%v", pause)
}

// TestTableOfALargeFleetIsSmall replays the planned size, 1,100 engines and 810 streams a second. It guards against
// replies that tell each observation: 4 KB a second hold 115 engines.
func TestTableOfALargeFleetIsSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	merger, now, told, number := NewMerger(), start, 0, uint64(0)
	const warmUp, length = 30, 90
	for second := range length {
		now = now.Add(time.Second)
		for range 810 {
			engine := Engine{ID: fmt.Sprint("e", random.IntN(1100))}
			gap := usualGap + time.Duration(random.IntN(2000))*time.Microsecond
			merger.Merge([]Summary{{Engine: engine, Gap: gap, Gaps: 20, First: 0.9 + random.Float64()/5, Firsts: 1}}, now)
		}
		if second >= warmUp {
			told += len(merger.Since(number, now))
		}
		number = merger.Number()
	}
	assert.Assert(t, told/(length-warmUp) <= 115, "%d engines a second", told/(length-warmUp))
}

// TestTrialOfOneProcessIsToldToAll guards against trials of an excluded engine by each process: its observation
// changes nothing, and must be told all the same.
func TestTrialOfOneProcessIsToldToAll(t *testing.T) {
	merger, now := NewMerger(), start
	slow := []Summary{{Engine: engineOf(0), Gap: 70 * time.Millisecond, Gaps: 20}}
	merger.Merge(slow, now)
	merger.Merge(slow, now.Add(time.Second))
	number := merger.Number()
	now = now.Add(time.Second + trialAfter)
	merger.Merge(slow, now)
	told := merger.Since(number, now)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Age, time.Duration(0))
	table := NewTable("g")
	table.Apply(told, now)
	assert.Assert(t, !table.TrialDue(engineOf(0), Limits{}, now.Add(trialAfter-time.Second)))
}

// TestDigestThatDidNotArriveIsSentAgain guards against observations that are lost with their holder.
func TestDigestThatDidNotArriveIsSentAgain(t *testing.T) {
	r := newReplay(1, 2.4, isThird)
	r.run(time.Second, all)
	digest := r.table.Digest(r.now)
	r.table.Return(digest)
	assert.Equal(t, len(r.table.Digest(r.now)), len(digest))
}
