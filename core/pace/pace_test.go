package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Load of the replays: events every 23 ms at the usual speed; machines are slower by a factor of 2.5 for 0.6 s
// at a time, 15% of the time; one gap in eight holds the prefill of another prompt.
const (
	engineCount  = 48
	usualGap     = 23 * time.Millisecond
	noiseTime    = 600 * time.Millisecond
	noisePercent = 250
	noiseShare   = 0.15
	streamEvents = 20
)

// replay feeds a table with the streams of engines of given speeds.
type replay struct {
	table  *Table
	random *rand.Rand
	// speeds holds the factor of each engine's times, noisyUntil the end of its slow time.
	speeds     []float64
	noisyUntil []time.Time
	now        time.Time
	// figures is set if engines report the fourth figure.
	figures bool
}

// newReplay returns a replay of engines whose speeds differ by a factor where slow returns true.
func newReplay(seed uint64, factor float64, slow func(int) bool) *replay {
	r := &replay{table: NewTable("g"), random: rand.New(rand.NewPCG(seed, 1)), noisyUntil: make([]time.Time, engineCount), now: start, figures: true}
	for i := range engineCount {
		r.speeds = append(r.speeds, 1)
		if slow(i) {
			r.speeds[i] = factor
		}
	}
	return r
}

// isThird selects every third engine.
func isThird(i int) bool { return i%3 == 0 }

// engineOf returns the key of the engine with an index.
func engineOf(i int) Engine { return Engine{ID: fmt.Sprint("e", i), Incarnation: 1} }

// run observes streams for a time, two a second on each engine that use allows.
func (r *replay) run(length time.Duration, use func(int) bool) {
	const tick = 100 * time.Millisecond
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(tick) {
		for i := range r.speeds {
			if r.random.Float64() < noiseShare*tick.Seconds()/noiseTime.Seconds() {
				r.noisyUntil[i] = r.now.Add(noiseTime)
			}
			if use(i) && r.random.IntN(5) == 0 {
				r.stream(i)
			}
		}
	}
}

// stream observes one stream that begins now.
func (r *replay) stream(i int) {
	percentAt := func(at time.Time) int {
		if at.Before(r.noisyUntil[i]) {
			return noisePercent
		}
		return 100
	}
	timeOf := func(usual time.Duration, at time.Time) time.Duration {
		return time.Duration(float64(usual) * r.speeds[i] * float64(percentAt(at)) / 100)
	}
	seen := Observation{Tokens: 1500, FirstEvent: timeOf(100*time.Millisecond, r.now)}
	if r.figures {
		seen.Pace = percentAt(r.now)
	}
	at := r.now
	for range streamEvents {
		gap := timeOf(usualGap, at)
		if r.random.IntN(8) == 0 {
			gap += timeOf(20*time.Millisecond, at)
		}
		at = at.Add(gap)
		seen.Gaps = append(seen.Gaps, Gap{Time: gap, Events: 1, Age: at.Sub(r.now)})
	}
	r.table.Observe(engineOf(i), seen, r.now)
}

// exceeding returns the indexes of the engines that exceed limits.
func (r *replay) exceeding(limits Limits) []int {
	var list []int
	for i := range r.speeds {
		if r.table.Exceeds(engineOf(i), limits, r.now) {
			list = append(list, i)
		}
	}
	return list
}

// all uses all engines.
func all(int) bool { return true }

// TestSlowThirdExceedsThePauseAtAllTimes replays the load of a fleet in which a third of the engines takes 2.4
// times as long and 200 ms between events are allowed. It guards against two failures: an engine that is judged by
// its machine's momentary slowness, and a slow engine that is used in its machine's fast time.
func TestSlowThirdExceedsThePauseAtAllTimes(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(seed, 2.4, isThird)
		r.run(5*time.Second, all)
		for range 50 {
			r.run(200*time.Millisecond, all)
			for i := range engineCount {
				got := r.table.Exceeds(engineOf(i), Limits{Pause: 200 * time.Millisecond}, r.now)
				_, pause, _ := r.table.Expected(engineOf(i), 1500, r.now)
				assert.Equal(t, got, isThird(i), "seed %d, engine %d, expected pause %v", seed, i, pause)
			}
		}
	}
}

// TestEnginesThatMeetTheObjectivesNeverExceed replays engines that differ by 1.3, with 400 ms allowed, with and
// without fourth figures. It guards against decisions in fleets that need none, where each one gives up a cached
// prefix: also the first event's limit, which is close for some requests, excludes no engine.
func TestEnginesThatMeetTheObjectivesNeverExceed(t *testing.T) {
	for _, figures := range []bool{true, false} {
		r := newReplay(7, 1.3, isThird)
		r.figures = figures
		r.run(5*time.Second, all)
		for range 50 {
			r.run(200*time.Millisecond, all)
			for first := time.Duration(0); first < 300*time.Millisecond; first += 20 * time.Millisecond {
				limits := Limits{FirstEvent: first, Pause: 400 * time.Millisecond, Tokens: 1500}
				assert.Equal(t, len(r.exceeding(limits)), 0, "first event within %v, figures %t", first, figures)
			}
		}
	}
}

// TestFleetThatIsSlowAsAWholeHasNoSlowEngine guards against the exclusion of engines where none is better.
func TestFleetThatIsSlowAsAWholeHasNoSlowEngine(t *testing.T) {
	r := newReplay(3, 4, all)
	r.run(10*time.Second, all)
	assert.Equal(t, len(r.exceeding(Limits{Pause: 200 * time.Millisecond, FirstEvent: 50 * time.Millisecond, Tokens: 1500})), 0)
	assert.Assert(t, !r.table.Meets(engineOf(1), Limits{Pause: 200 * time.Millisecond}, r.now))
}

// TestRecoveredEngineIsUsedAgain guards against an engine that is excluded for ever. It gets no requests but the
// trials, which are few, and is no longer excluded within seconds of its recovery.
func TestRecoveredEngineIsUsedAgain(t *testing.T) {
	r := newReplay(2, 2.4, isThird)
	limits := Limits{Pause: 200 * time.Millisecond}
	r.run(8*time.Second, all)
	assert.Assert(t, r.table.Exceeds(engineOf(0), limits, r.now))
	tryIfDue := func(seconds int) (trials int) {
		for range 10 * seconds {
			r.run(100*time.Millisecond, func(i int) bool { return i != 0 })
			if r.table.Exceeds(engineOf(0), limits, r.now) && r.table.TrialDue(engineOf(0), limits, r.now) {
				trials++
				r.table.Tried(engineOf(0), r.now)
				r.stream(0)
			}
		}
		return trials
	}
	trials := tryIfDue(60)
	assert.Assert(t, trials >= 5 && trials <= 10, "%d trials in a minute", trials)
	assert.Assert(t, r.table.Exceeds(engineOf(0), limits, r.now), "a trial in which it was still slow")
	r.speeds[0] = 1
	tryIfDue(15)
	assert.Assert(t, !r.table.Exceeds(engineOf(0), limits, r.now))
}

// TestVerySlowEngineIsKnownByItsTrialsAlone guards against requests that go to an engine all at once each time that its
// observations have faded: it violates the limit at any time, so that no request is better suited than others.
func TestVerySlowEngineIsKnownByItsTrialsAlone(t *testing.T) {
	r := newReplay(2, 10, func(i int) bool { return i == 0 })
	limits := Limits{Pause: 200 * time.Millisecond}
	r.run(8*time.Second, all)
	trials := 0
	for range 1200 {
		r.run(100*time.Millisecond, func(i int) bool { return i != 0 })
		assert.Assert(t, r.table.Exceeds(engineOf(0), limits, r.now), "after %d trials", trials)
		if r.table.TrialDue(engineOf(0), limits, r.now) {
			trials++
			r.table.Tried(engineOf(0), r.now)
			r.stream(0)
		}
	}
	assert.Assert(t, trials >= 7 && trials <= 12, "%d trials in two minutes", trials)
}

// TestOldObservationsFade guards against decisions by observations of long ago.
func TestOldObservationsFade(t *testing.T) {
	r := newReplay(2, 2.4, isThird)
	r.run(8*time.Second, all)
	r.run(40*time.Second, func(i int) bool { return !isThird(i) })
	assert.Equal(t, len(r.exceeding(Limits{Pause: 200 * time.Millisecond})), 0)
	_, pause, known := r.table.Expected(engineOf(0), 1500, r.now)
	assert.Assert(t, known && pause < 200*time.Millisecond, "an engine without observations has the usual pace, %v", pause)
}

// TestEventsThatArriveTogetherShareTheirGap guards against a gateway with little processor time, which reads
// several events at once, making engines look slow.
func TestEventsThatArriveTogetherShareTheirGap(t *testing.T) {
	seen := Observation{}
	for range 6 {
		seen.Gaps = append(seen.Gaps, Gap{Time: 4 * usualGap, Events: 4})
	}
	gap, events := seen.pace()
	assert.Equal(t, gap, usualGap)
	assert.Equal(t, events, 24)
}

// TestOneStreamDoesNotMakeAnEngineSlow guards against the exclusion of an engine for the times of one stream, which
// may have waited behind others.
func TestOneStreamDoesNotMakeAnEngineSlow(t *testing.T) {
	r := newReplay(4, 1, isThird)
	r.run(8*time.Second, func(i int) bool { return i != 0 })
	r.table.Observe(engineOf(0), Observation{Tokens: 1500, FirstEvent: 3 * time.Second}, r.now)
	assert.Equal(t, len(r.exceeding(Limits{FirstEvent: 200 * time.Millisecond, Tokens: 1500})), 0)
}
