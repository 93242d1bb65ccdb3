package slowstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// longestHold is the most that a request of the model is held up between its choice and its
// arrival; the opening of a connection is given up before.
const longestHold = 800 * time.Millisecond

// world is a fleet before one cold upstream, of which each process knows a part.
type world struct {
	limiters []*Limiter
	bound    Bound
}

// newWorld returns a fleet in which no process lacks more than missing of the others, and
// some know others that are gone.
func newWorld(random *rand.Rand, processes, missing int, bound Bound) *world {
	w := &world{bound: bound}
	for i := range processes {
		limiter := New(fmt.Sprint("g", i))
		var others []string
		for _, j := range random.Perm(processes)[:processes-random.IntN(missing+1)] {
			if j != i {
				others = append(others, fmt.Sprint("g", j))
			}
		}
		for j := range random.IntN(3) {
			others = append(others, fmt.Sprint("gone", j))
		}
		limiter.SetMembers(others)
		w.limiters = append(w.limiters, limiter)
	}
	return w
}

// rule decides whether a process sends; the real one, or one that is broken on purpose.
type rule func(l *Limiter, upstream string, bound Bound, now time.Time) bool

// most lets every process try every few ms, and returns how many requests arrived in the
// fullest second.
func (w *world) most(random *rand.Rand, allows rule) int {
	var arrived []time.Time
	for at := time.Duration(0); at < 6*time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		for _, limiter := range w.limiters {
			if random.IntN(4) == 0 || !allows(limiter, "u", w.bound, now) {
				continue
			}
			limiter.Sent("u", now)
			arrived = append(arrived, now.Add(time.Duration(random.Int64N(int64(longestHold)))))
		}
	}
	fullest := 0
	for _, from := range arrived {
		count := 0
		for _, at := range arrived {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				count++
			}
		}
		fullest = max(fullest, count)
	}
	return fullest
}

// bounds are those of deployments that may come: what a cold upstream takes, and the fleet.
var bounds = []struct {
	Bound
	processes int
}{
	{Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}, 27},
	{Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}, 340},
	{Bound{PerSecond: 4, Overrun: 1.5, Slack: 5}, 103},
	{Bound{PerSecond: 1, Overrun: 1.5, Slack: 5}, 5},
	{Bound{PerSecond: 1, Overrun: 1, Slack: 0}, 5},
	{Bound{PerSecond: 50, Overrun: 1.5, Slack: 5}, 4},
}

// TestNoSecondBringsMoreThanTheBound: whatever processes know of each other, as long as none
// lacks more of the others than half of the bound.
func TestNoSecondBringsMoreThanTheBound(t *testing.T) {
	for seed := range uint64(12) {
		for _, one := range bounds {
			random := rand.New(rand.NewPCG(seed, 3))
			w := newWorld(random, one.processes, min(one.processes-1, one.senders()), one.Bound)
			fullest := w.most(random, (*Limiter).Allows)
			limit := one.PerSecond*one.Overrun + one.Slack
			assert.Assert(t, float64(fullest) <= limit, "seed %d, %d processes: %d of %.1f", seed, one.processes, fullest, limit)
		}
	}
}

// TestTheModelFindsBoundsThatBreak: rules that look right and are not.
func TestTheModelFindsBoundsThatBreak(t *testing.T) {
	spaced := func(l *Limiter, upstream string, now time.Time, spacing time.Duration) bool {
		last, sent := l.sent[upstream]
		return !sent || now.Sub(last) >= spacing
	}
	broken := map[string]rule{
		"each process its part of the rate": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			rate := (bound.PerSecond*bound.Overrun + bound.Slack) / float64(len(l.members)+1)
			return spaced(l, upstream, now, time.Duration(float64(time.Second)/rate))
		},
		"as many senders as the bound": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			return spaced(l, upstream, now, Spacing) && l.rank(upstream) < unaware*bound.senders()
		},
		"a second between two": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			return spaced(l, upstream, now, time.Second/2) && l.rank(upstream) < bound.senders()
		},
	}
	for name, allows := range broken {
		worst := 0
		bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, 3))
			worst = max(worst, newWorld(random, 27, 12, bound).most(random, allows))
		}
		assert.Assert(t, worst > 24, "%s: %d", name, worst)
	}
}

// TestWhoKnowsNobodySendsNothing: it may be one of many that know nobody.
func TestWhoKnowsNobodySendsNothing(t *testing.T) {
	bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
	l := New("g1")
	assert.Assert(t, !l.Allows("u", bound, start))
	l.SetMembers(nil)
	assert.Assert(t, l.Allows("u", bound, start), "it is alone")
	l.Sent("u", start)
	assert.Assert(t, !l.Allows("u", bound, start.Add(time.Second)))
	assert.Assert(t, l.Allows("other", bound, start.Add(time.Second)))
	assert.Assert(t, l.Allows("u", bound, start.Add(Spacing)))
}

// TestUpstreamsWithoutABoundTakeAny.
func TestUpstreamsWithoutABoundTakeAny(t *testing.T) {
	l := New("g1")
	for range 100 {
		assert.Assert(t, l.Allows("u", Bound{Overrun: 1.5, Slack: 5}, start))
		l.Sent("u", start)
	}
}

// TestEachColdUpstreamHasSenders: of a fleet that knows itself, so many as are meant to.
func TestEachColdUpstreamHasSenders(t *testing.T) {
	bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
	w := newWorld(rand.New(rand.NewPCG(1, 1)), 27, 0, bound)
	for i := range 49 {
		senders := 0
		for _, l := range w.limiters {
			if l.Allows(fmt.Sprint("u", i), bound, start) {
				senders++
			}
		}
		assert.Assert(t, senders >= bound.senders()-3 && senders <= bound.senders(), "upstream %d: %d", i, senders)
	}
}
