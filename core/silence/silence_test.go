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
	// left is how long clients wait for the first event, allowed the longest pause between two events.
	left    = 4 * time.Second
	allowed = 200 * time.Millisecond
)

var key = silence.Key{Service: "engines", Route: "replies"}

// replay is a sequence of requests to ten upstreams of one service.
type replay struct {
	table  *silence.Table
	random *rand.Rand
	now    time.Time
	// givenUp counts the sends that were given up, longest is the longest wait until then.
	givenUp int
	longest time.Duration
}

// newReplay returns a replay with a fixed seed.
func newReplay() *replay {
	return &replay{table: silence.NewTable(), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
}

// usual draws a time from 0.1 to 0.2 s.
func (r *replay) usual(int) time.Duration {
	return 100*time.Millisecond + time.Duration(r.random.Int64N(int64(100*time.Millisecond)))
}

// send replays one send that would take a time; left or more is silence.
func (r *replay) send(upstream int, takes time.Duration) {
	r.now = r.now.Add(50 * time.Millisecond)
	o := silence.Observation{Upstream: fmt.Sprint(upstream), Took: min(takes, left), Cut: takes >= left}
	limit, given := r.table.First(key, silence.Send{Upstream: o.Upstream, Left: left}, r.now)
	if given && !limit.ServiceSlow && limit.After < takes {
		r.givenUp++
		r.longest = max(r.longest, limit.After)
		o.Took, o.Cut = limit.After, true
	}
	r.table.ObserveFirst(key, o, r.now)
}

// run replays sends to the upstreams in turn.
func (r *replay) run(count int, takes func(upstream int) time.Duration) {
	for i := range count {
		r.send(i%10, takes(i%10))
	}
}

// TestOnlyTheSilentUpstreamIsGivenUp guards against clients that wait 4 s for an engine that is silent while the others
// take 0.1 to 0.2 s, also if a prompt prefix sends half of the requests there, and against second attempts for machine
// noise: each upstream is slower by a factor of 2.5 in 15 % of the time.
func TestOnlyTheSilentUpstreamIsGivenUp(t *testing.T) {
	r := newReplay()
	r.run(3000, func(int) time.Duration {
		if r.random.IntN(100) < 15 {
			return r.usual(0) * 5 / 2
		}
		return r.usual(0)
	})
	assert.Equal(t, r.givenUp, 0)
	for range 30 {
		r.send(3, left)
		r.send(4, r.usual(4))
	}
	assert.Equal(t, r.givenUp, 30)
	assert.Assert(t, r.longest < 1200*time.Millisecond, "%v", r.longest)
}

// TestAServiceThatIsSlowAsAWholeIsNotRepeated guards against repeated requests that add to the load of a
// service which became slower by a factor of ten: of 300 requests, no more than 5 % are sent again.
func TestAServiceThatIsSlowAsAWholeIsNotRepeated(t *testing.T) {
	r := newReplay()
	r.run(200, r.usual)
	r.run(300, func(int) time.Duration { return 10 * r.usual(0) })
	assert.Assert(t, r.givenUp <= 15, "%d", r.givenUp)
}

// TestAServiceThatFallsSilentAtOnceIsNotRepeated guards against a burst of repeated requests when all upstreams of
// a service stop together: the sends that wait show it before any of them has ended.
func TestAServiceThatFallsSilentAtOnceIsNotRepeated(t *testing.T) {
	r := newReplay()
	r.run(200, r.usual)
	for others, slow := range map[int]bool{10: true, 1: false} {
		var waiting []silence.Observation
		for i := range 10 {
			waiting = append(waiting, silence.Observation{Upstream: fmt.Sprint(i % others), Took: time.Second, Cut: true})
		}
		limit, given := r.table.First(key, silence.Send{Upstream: "0", Left: left, Waiting: waiting}, r.now)
		assert.Assert(t, given && limit.After < time.Second)
		assert.Equal(t, limit.ServiceSlow, slow)
	}
}

// TestCutSendsCountAsLong guards against an estimate that sees only the sends which were not given up: two of ten
// upstreams that have become slow would be given up for ever.
func TestCutSendsCountAsLong(t *testing.T) {
	r := newReplay()
	r.run(200, r.usual)
	someSlow := func(upstream int) time.Duration {
		if upstream < 2 {
			return 8 * r.usual(0)
		}
		return r.usual(0)
	}
	r.run(200, someSlow)
	given := r.givenUp
	assert.Assert(t, given > 0)
	r.run(300, someSlow)
	assert.Equal(t, r.givenUp, given)
}

// TestSendsCutEarlyDoNotShortenTheUsualTime guards against clients that leave, or connections that break,
// within milliseconds: they say nothing about the time that the response would have taken.
func TestSendsCutEarlyDoNotShortenTheUsualTime(t *testing.T) {
	r := newReplay()
	for i := range 120 {
		o := silence.Observation{Upstream: fmt.Sprint(i % 10), Took: 150 * time.Millisecond}
		if i%2 == 0 {
			o.Took, o.Cut = time.Millisecond, true
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
	isGiven := func(age time.Duration) bool {
		_, given := r.table.First(key, silence.Send{Upstream: "3", Left: left}, r.now.Add(age))
		return given
	}
	for range 100 {
		r.send(3, r.usual(3))
	}
	for range 19 {
		r.send(4, r.usual(4))
	}
	assert.Assert(t, !isGiven(0))
	r.send(4, r.usual(4))
	assert.Assert(t, isGiven(0))
	assert.Assert(t, !isGiven(2*time.Minute))
}

// TestTimeIsLeftForAWholeSecondAttempt guards against an attempt that starts when the client is about to
// give up, and against giving up within the noise because little time is left.
func TestTimeIsLeftForAWholeSecondAttempt(t *testing.T) {
	r := newReplay()
	r.run(100, func(int) time.Duration { return 500 * time.Millisecond })
	for left, want := range map[time.Duration]time.Duration{4 * time.Second: 1500 * time.Millisecond, 1700 * time.Millisecond: 1200 * time.Millisecond, 1300 * time.Millisecond: 0} {
		limit, given := r.table.First(key, silence.Send{Upstream: "3", Left: left}, r.now)
		assert.Equal(t, given, want > 0, "%v", left)
		assert.Assert(t, !given || limit.After == want, "%v: %v", left, limit.After)
	}
}

// TestAPauseMayTakeSeveralTimesTheAllowedOne guards against streams that are taken from engines which are
// slow, but send events.
func TestAPauseMayTakeSeveralTimesTheAllowedOne(t *testing.T) {
	r := newReplay()
	r.run(100, r.usual)
	_, given := r.table.Pause(key, silence.Send{Upstream: "3", Left: left}, allowed, r.now)
	assert.Assert(t, !given)
	for _, c := range []struct{ usual, want time.Duration }{{allowed / 10, 4 * allowed}, {2 * allowed, 6 * allowed}} {
		for i := range 128 {
			r.table.ObservePause(key, silence.Observation{Upstream: fmt.Sprint(i % 10), Took: c.usual}, r.now)
		}
		limit, given := r.table.Pause(key, silence.Send{Upstream: "3", Left: left}, allowed, r.now)
		assert.Assert(t, given)
		assert.Equal(t, limit.After, c.want)
	}
}
