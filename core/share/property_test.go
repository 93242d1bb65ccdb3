package share_test

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/share"
)

const (
	eventsPerRun  = 70
	interleavings = 10000
	mutationSeeds = 20000
)

// runEvent runs one random event. Faults happen only if allowed.
func (cl *cluster) runEvent(faults bool) {
	switch n := cl.pick("turn", 20); {
	case n < 4:
		if !cl.withinBound || cl.openRequests() < cl.bound {
			cl.begin(cl.pick("entry", entries))
		}
	case n < 6:
		cl.finish()
	case n == 6:
		cl.advance(time.Duration(cl.pick("ms", 1500)) * time.Millisecond)
	case n == 7:
		cl.reassignPermits()
	case n >= 14 && n < 18 && faults:
		cl.faulty = true
		cl.injectFault()
	case len(cl.messages) > 0:
		cl.deliver(cl.pick("message", len(cl.messages)), faults)
	}
	cl.checkBounds()
}

// openRequests counts the requests that run, search for a permit, or whose release has not
// arrived at every home that received their permit request.
func (cl *cluster) openRequests() int {
	count := 0
	for _, r := range cl.requests {
		open := r.searching || r.running
		for _, released := range r.released {
			open = open || !released
		}
		if open {
			count++
		}
	}
	return count
}

// finish ends one of the running requests.
func (cl *cluster) finish() {
	var running []*request
	for _, r := range cl.requests {
		if r.running {
			running = append(running, r)
		}
	}
	if len(running) > 0 {
		cl.end(running[cl.pick("call", len(running))])
	}
}

// advance advances the clock and ends the requests whose deadlines have passed.
func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, r := range cl.requests {
		if !r.ended && !cl.now.Before(r.deadline) {
			cl.end(r)
		}
	}
}

// reassignPermits requests that the right homes count the running requests.
func (cl *cluster) reassignPermits() {
	for _, r := range cl.requests {
		n := cl.nodes[r.entry]
		if !r.running || r.crashed {
			continue
		}
		if home, req, ok := n.client.Reassign(cl.now, n.homes, r.held); ok {
			cl.send(r, home, req)
		}
	}
}

// deliver delivers one message. With faults it may stay in transit for a duplicate
// delivery.
func (cl *cluster) deliver(i int, faults bool) {
	m := cl.messages[i]
	if !faults || cl.pick("twice", 8) > 0 {
		cl.messages = append(cl.messages[:i:i], cl.messages[i+1:]...)
	}
	m()
}

// injectFault injects one random fault.
func (cl *cluster) injectFault() {
	entry := cl.pick("node", entries)
	switch cl.pick("fault", 8) {
	case 0: // the process crashes and restarts; its requests continue at the upstreams
		n := cl.nodes[entry]
		n.ledger, n.client = share.NewLedger(), share.NewClient()
		n.incarnation += core.Incarnation(entries)
		for _, r := range cl.requests {
			if r.entry == entry {
				r.crashed, r.searching = true, false
			}
		}
	case 1: // an entry's host list changes
		cl.nodes[entry].homes = views[cl.pick("gone", entries+1)][entry]
	case 2, 3: // a message is lost
		if len(cl.messages) > 0 {
			i := cl.pick("lost", len(cl.messages))
			cl.messages = append(cl.messages[:i:i], cl.messages[i+1:]...)
		}
	default: // all pending permit requests time out
		for _, r := range cl.requests {
			if r.searching {
				cl.step(r, r.search.Failed(cl.now))
			}
		}
	}
}

// settle ends the faults and lets all permits expire, then checks that exactly as many
// requests as the bound allows are admitted.
func (cl *cluster) settle() {
	cl.messages = nil
	cl.advance(time.Minute)
	cl.messages = nil
	cl.faulty = false
	for i, n := range cl.nodes {
		n.homes = views[entries][i]
	}
	for i := range cl.bound + 1 {
		refusalsBefore := cl.refusals
		cl.begin(i % entries)
		for len(cl.messages) > 0 {
			cl.deliver(0, false)
		}
		cl.checkBounds()
		if refused := cl.refusals > refusalsBefore; refused != (i == cl.bound) {
			cl.fail("request %d with bound %d after the faults ended: refused = %t", i+1, cl.bound, refused)
		}
	}
}

// run runs one interleaving.
func run(pick func(string, int) int, broken mutation) *cluster {
	cl := newCluster(pick, broken)
	faults := pick("faults", 3) > 0
	cl.withinBound = !faults && pick("within", 2) == 0
	for range eventsPerRun {
		cl.runEvent(faults)
	}
	cl.withinBound = false
	cl.settle()
	return cl
}

// TestTheBoundHolds checks the bounds in random interleavings of requests, messages and
// faults.
func TestTheBoundHolds(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.checks", strconv.Itoa(interleavings)))
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	runs, refused, local := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		cl := run(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, noMutation)
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
		runs++
		refused += cl.refusals
		for _, r := range cl.requests {
			if r.local {
				local++
			}
		}
	})
	t.Logf("%d interleavings, %d refusals, %d requests admitted locally", runs, refused, local)
	assert.Assert(t, runs >= interleavings && refused > interleavings && local > interleavings)
}

// TestChecksDetectMutations breaks one mechanism at a time and expects the checks of
// TestTheBoundHolds to fail.
func TestChecksDetectMutations(t *testing.T) {
	for broken := boundPlusOne; broken <= droppedRelease; broken++ {
		found := ""
		for seed := range uint64(mutationSeeds) {
			random := rand.New(rand.NewPCG(seed, 1))
			if found = run(func(_ string, n int) int { return random.IntN(n) }, broken).violation; found != "" {
				t.Logf("mutation %d, seed %d: %s", broken, seed, found)
				break
			}
		}
		assert.Assert(t, found != "", "the checks did not detect mutation %d", broken)
	}
}
