package silence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/silence"
)

const (
	// left is how long clients wait for the first event.
	left = 4 * time.Second
	// allowed is the longest pause between two events.
	allowed = 200 * time.Millisecond
)

var key = silence.Key{Service: "engines", Route: "replies"}

// replay is a sequence of requests to the upstreams of one service.
type replay struct {
	table  *silence.Table
	random *rand.Rand
	now    time.Time
	// givenUp counts the sends that were given up by upstream, and longest is the longest wait until then.
	givenUp map[string]int
	longest time.Duration
}

// newReplay returns a replay with a fixed seed.
func newReplay() *replay {
	return &replay{table: silence.NewTable(), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), givenUp: make(map[string]int)}
}

// usual draws a time from 0.1 to 0.2 s.
func (r *replay) usual() time.Duration {
	return 100*time.Millisecond + time.Duration(r.random.Int64N(int64(100*time.Millisecond)))
}

// send replays one send that would take a time, or is silent if that is 0.
func (r *replay) send(upstream string, takes time.Duration) {
	r.now = r.now.Add(50 * time.Millisecond)
	if takes == 0 {
		takes = left
	}
	limit, given := r.table.First(key, silence.Send{Upstream: upstream, Left: left}, r.now)
	switch {
	case given && !limit.ServiceSlow && limit.After < takes:
		r.givenUp[upstream]++
		r.longest = max(r.longest, limit.After)
		r.table.ObserveFirst(key, silence.Observation{Upstream: upstream, Took: limit.After, Cut: true}, r.now)
	case takes >= left:
		r.table.ObserveFirst(key, silence.Observation{Upstream: upstream, Took: left, Cut: true}, r.now)
	default:
		r.table.ObserveFirst(key, silence.Observation{Upstream: upstream, Took: takes}, r.now)
	}
}

// run replays sends to ten upstreams in turn.
func (r *replay) run(count int, takes func(upstream int) time.Duration) {
	for i := range count {
		r.send(fmt.Sprint(i%10), takes(i%10))
	}
}

// total returns the number of sends that were given up.
func (r *replay) total() int {
	sum := 0
	for _, count := range r.givenUp {
		sum += count
	}
	return sum
}

// TestOneSilentUpstreamIsGivenUpSoon guards against clients that wait 4 s for an engine that is silent
// while the others take 0.1 to 0.2 s, also if a prompt prefix sends most requests there.
func TestOneSilentUpstreamIsGivenUpSoon(t *testing.T) {
	r := newReplay()
	r.run(200, func(int) time.Duration { return r.usual() })
	assert.Equal(t, r.total(), 0)
	for range 30 {
		r.send("3", 0)
		r.send("4", r.usual())
	}
	assert.DeepEqual(t, r.givenUp, map[string]int{"3": 30})
	assert.Assert(t, r.longest < 700*time.Millisecond, "%v", r.longest)
}

// TestASlowPeriodOfAnUpstreamIsNoSilence guards against second attempts for machine noise: each upstream is
// slower by a factor of 2.5 in 15 % of the time.
func TestASlowPeriodOfAnUpstreamIsNoSilence(t *testing.T) {
	r := newReplay()
	r.run(3000, func(int) time.Duration {
		if r.random.IntN(100) < 15 {
			return r.usual() * 5 / 2
		}
		return r.usual()
	})
	assert.Equal(t, r.total(), 0)
}

// TestAServiceThatIsSlowAsAWholeIsNotRepeated guards against repeated requests that add to the load of a
// service which became slower by a factor of ten: of 300 requests, no more than 5 % are sent again.
func TestAServiceThatIsSlowAsAWholeIsNotRepeated(t *testing.T) {
	r := newReplay()
	r.run(200, func(int) time.Duration { return r.usual() })
	r.run(300, func(int) time.Duration { return 10 * r.usual() })
	assert.Assert(t, r.total() <= 15, "%v", r.givenUp)
}

// TestAServiceThatFallsSilentAtOnceIsNotRepeated guards against a burst of repeated requests when all upstreams of
// a service stop together: the sends that wait show it before any of them has ended.
func TestAServiceThatFallsSilentAtOnceIsNotRepeated(t *testing.T) {
	r := newReplay()
	r.run(200, func(int) time.Duration { return r.usual() })
	var waiting []silence.Observation
	for i := range 10 {
		waiting = append(waiting, silence.Observation{Upstream: fmt.Sprint(i), Took: time.Second, Cut: true})
	}
	limit, given := r.table.First(key, silence.Send{Upstream: "3", Left: left, Waiting: waiting}, r.now)
	assert.Assert(t, given && limit.After < time.Second)
	assert.Assert(t, limit.ServiceSlow)
	for i := range waiting {
		waiting[i].Upstream = "3"
	}
	limit, given = r.table.First(key, silence.Send{Upstream: "3", Left: left, Waiting: waiting}, r.now)
	assert.Assert(t, given && !limit.ServiceSlow)
}

// TestCutSendsCountAsLong guards against an estimate that sees only the sends which were not given up: the
// limit would stay at the time of the fast ones for ever.
func TestCutSendsCountAsLong(t *testing.T) {
	r := newReplay()
	r.run(200, func(int) time.Duration { return r.usual() })
	before, known := r.table.Usual(key, "none", r.now)
	assert.Assert(t, known)
	for range 2 {
		r.run(100, func(upstream int) time.Duration {
			if upstream < 2 {
				return 8 * r.usual()
			}
			return r.usual()
		})
	}
	given := r.total()
	r.run(300, func(upstream int) time.Duration {
		if upstream < 2 {
			return 8 * r.usual()
		}
		return r.usual()
	})
	after, known := r.table.Usual(key, "none", r.now)
	assert.Assert(t, known && after >= 2*before, "%v after %v", after, before)
	assert.Equal(t, r.total(), given)
}

// TestSendsCutEarlyDoNotShortenTheUsualTime guards against clients that leave, or connections that break,
// within milliseconds: they say nothing about the time that the response would have taken.
func TestSendsCutEarlyDoNotShortenTheUsualTime(t *testing.T) {
	r := newReplay()
	for i := range 120 {
		o := silence.Observation{Upstream: fmt.Sprint(i % 10), Took: 150 * time.Millisecond}
		if i%2 == 0 {
			o = silence.Observation{Upstream: o.Upstream, Took: time.Millisecond, Cut: true}
		}
		r.table.ObserveFirst(key, o, r.now)
	}
	usual, known := r.table.Usual(key, "none", r.now)
	assert.Assert(t, known)
	assert.Equal(t, usual, 150*time.Millisecond)
}

// TestNothingIsGivenUpWithoutObservations guards against decisions from a handful of responses, from the
// silent upstream's own, or from those of long ago.
func TestNothingIsGivenUpWithoutObservations(t *testing.T) {
	r := newReplay()
	for range 100 {
		r.send("3", r.usual())
	}
	for range 19 {
		r.send("4", r.usual())
	}
	_, given := r.table.First(key, silence.Send{Upstream: "3", Left: left}, r.now)
	assert.Assert(t, !given)
	r.send("4", r.usual())
	_, given = r.table.First(key, silence.Send{Upstream: "3", Left: left}, r.now)
	assert.Assert(t, given)
	_, given = r.table.First(key, silence.Send{Upstream: "3", Left: left}, r.now.Add(2*time.Minute))
	assert.Assert(t, !given)
}

// TestTimeIsLeftForAWholeSecondAttempt guards against an attempt that starts when the client is about to
// give up, and against giving up within the noise because little time is left.
func TestTimeIsLeftForAWholeSecondAttempt(t *testing.T) {
	r := newReplay()
	for i := range 100 {
		r.table.ObserveFirst(key, silence.Observation{Upstream: fmt.Sprint(i % 10), Took: 500 * time.Millisecond}, r.now)
	}
	limit, given := r.table.First(key, silence.Send{Upstream: "3", Left: 4 * time.Second}, r.now)
	assert.Assert(t, given)
	assert.Equal(t, limit.After, 1500*time.Millisecond)
	limit, given = r.table.First(key, silence.Send{Upstream: "3", Left: 1700 * time.Millisecond}, r.now)
	assert.Assert(t, given)
	assert.Equal(t, limit.After, 1200*time.Millisecond)
	_, given = r.table.First(key, silence.Send{Upstream: "3", Left: 1300 * time.Millisecond}, r.now)
	assert.Assert(t, !given)
}

// TestAPauseMayTakeSeveralTimesTheAllowedOne guards against streams that are taken from engines which are
// slow, but send events.
func TestAPauseMayTakeSeveralTimesTheAllowedOne(t *testing.T) {
	r := newReplay()
	r.run(100, func(int) time.Duration { return r.usual() })
	_, given := r.table.Pause(key, silence.Send{Upstream: "3", Left: left}, allowed, r.now)
	assert.Assert(t, !given)
	for i := range 100 {
		r.table.ObservePause(key, silence.Observation{Upstream: fmt.Sprint(i % 10), Took: 20 * time.Millisecond}, r.now)
	}
	limit, given := r.table.Pause(key, silence.Send{Upstream: "3", Left: left}, allowed, r.now)
	assert.Assert(t, given)
	assert.Equal(t, limit.After, 4*allowed)
	for i := range 100 {
		r.table.ObservePause(key, silence.Observation{Upstream: fmt.Sprint(i % 10), Took: 2 * allowed}, r.now)
	}
	limit, given = r.table.Pause(key, silence.Send{Upstream: "3", Left: left}, allowed, r.now)
	assert.Assert(t, given)
	assert.Equal(t, limit.After, 6*allowed)
}
