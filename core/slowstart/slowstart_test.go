package slowstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// maxDelay is the longest delay in the model between the choice of the upstream and the arrival
// of a request; the timeout for opening a connection is shorter.
const maxDelay = 800 * time.Millisecond

// fleet is a set of processes that send to one cold upstream and each know some of the others.
type fleet struct {
	limiters []*Limiter
	bound    Bound
}

// newFleet returns a fleet in which each process knows all but at most missing of the other
// processes, and some also know processes that have ended.
func newFleet(random *rand.Rand, processes, missing int, bound Bound) *fleet {
	f := &fleet{bound: bound}
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
		f.limiters = append(f.limiters, limiter)
	}
	return f
}

// admissionRule reports whether a process may send: Limiter.Allows or a deliberately broken rule.
type admissionRule func(l *Limiter, upstream string, bound Bound, now time.Time) bool

// peakPerSecond lets every process try to send every few ms and returns the largest number
// of requests that arrived within one second.
func (f *fleet) peakPerSecond(random *rand.Rand, allows admissionRule) int {
	var arrived []time.Time
	for at := time.Duration(0); at < 6*time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		for _, limiter := range f.limiters {
			if random.IntN(4) == 0 || !allows(limiter, "u", f.bound, now) {
				continue
			}
			limiter.Sent("u", now)
			arrived = append(arrived, now.Add(time.Duration(random.Int64N(int64(maxDelay)))))
		}
	}
	peak := 0
	for _, from := range arrived {
		count := 0
		for _, at := range arrived {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				count++
			}
		}
		peak = max(peak, count)
	}
	return peak
}

// bounds holds the bounds and fleet sizes of possible deployments.
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

// TestArrivalsStayWithinTheBoundInEverySecond checks the bound for random memberships in which
// no process lacks more of the others than half of the bound.
func TestArrivalsStayWithinTheBoundInEverySecond(t *testing.T) {
	for seed := range uint64(12) {
		for _, deployment := range bounds {
			random := rand.New(rand.NewPCG(seed, 3))
			f := newFleet(random, deployment.processes, min(deployment.processes-1, deployment.senders()), deployment.Bound)
			peak := f.peakPerSecond(random, (*Limiter).Allows)
			limit := deployment.PerSecond*deployment.Overrun + deployment.Slack
			assert.Assert(t, float64(peak) <= limit, "seed %d, %d processes: peak of %d, limit %.1f", seed, deployment.processes, peak, limit)
		}
	}
}

// TestModelDetectsBrokenRules checks that the model exceeds the bound under rules that look
// right and are wrong.
func TestModelDetectsBrokenRules(t *testing.T) {
	spaced := func(l *Limiter, upstream string, now time.Time, spacing time.Duration) bool {
		last, sent := l.lastSent[upstream]
		return !sent || now.Sub(last) >= spacing
	}
	broken := map[string]admissionRule{
		"an equal share of the rate for each process": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			rate := (bound.PerSecond*bound.Overrun + bound.Slack) / float64(len(l.members)+1)
			return spaced(l, upstream, now, time.Duration(float64(time.Second)/rate))
		},
		"as many senders as the bound": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			return spaced(l, upstream, now, Spacing) && l.rank(upstream) < divergenceFactor*bound.senders()
		},
		"half a second between two requests": func(l *Limiter, upstream string, bound Bound, now time.Time) bool {
			return spaced(l, upstream, now, time.Second/2) && l.rank(upstream) < bound.senders()
		},
	}
	for name, allows := range broken {
		worst := 0
		bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, 3))
			worst = max(worst, newFleet(random, 27, 12, bound).peakPerSecond(random, allows))
		}
		assert.Assert(t, worst > 24, "%s: %d", name, worst)
	}
}

// TestProcessWithoutMembershipSendsNothing checks that a process sends nothing before it knows
// the membership: many other processes may know no members either.
func TestProcessWithoutMembershipSendsNothing(t *testing.T) {
	bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
	l := New("g1")
	assert.Assert(t, !l.Allows("u", bound, start))
	l.SetMembers(nil)
	assert.Assert(t, l.Allows("u", bound, start), "there are no other members")
	l.Sent("u", start)
	assert.Assert(t, !l.Allows("u", bound, start.Add(time.Second)))
	assert.Assert(t, l.Allows("other", bound, start.Add(time.Second)))
	assert.Assert(t, l.Allows("u", bound, start.Add(Spacing)))
}

func TestUpstreamsWithoutABoundTakeAnyNumberOfRequests(t *testing.T) {
	l := New("g1")
	for range 100 {
		assert.Assert(t, l.Allows("u", Bound{Overrun: 1.5, Slack: 5}, start))
		l.Sent("u", start)
	}
}

// TestEachColdUpstreamHasSenders checks that in a fleet in which all processes know each other,
// each cold upstream has about as many senders as it is meant to have.
func TestEachColdUpstreamHasSenders(t *testing.T) {
	bound := Bound{PerSecond: 13, Overrun: 1.5, Slack: 5}
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 27, 0, bound)
	for i := range 49 {
		senders := 0
		for _, l := range f.limiters {
			if l.Allows(fmt.Sprint("u", i), bound, start) {
				senders++
			}
		}
		assert.Assert(t, senders >= bound.senders()-3 && senders <= bound.senders(), "upstream %d: %d", i, senders)
	}
}
