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
	turns          = 70
	interleavings  = 10000
	mutationSearch = 20000
)

// turn lets one thing happen. Faults happen only if allowed.
func (w *world) turn(faults bool) {
	switch n := w.pick("turn", 20); {
	case n < 4:
		if !w.within || w.open() < w.bound {
			w.begin(w.pick("entry", entries))
		}
	case n < 6:
		w.finish()
	case n == 6:
		w.pass(time.Duration(w.pick("ms", 1500)) * time.Millisecond)
	case n == 7:
		w.move()
	case n >= 14 && n < 18 && faults:
		w.faulty = true
		w.fault()
	case len(w.messages) > 0:
		w.deliver(w.pick("message", len(w.messages)), faults)
	}
	w.check()
}

// open counts the requests that run, search, or whose release is on its way.
func (w *world) open() int {
	count := 0
	for _, c := range w.calls {
		open := c.searching || c.runs
		for _, back := range c.asked {
			open = open || !back
		}
		if open {
			count++
		}
	}
	return count
}

// finish ends one of the running requests.
func (w *world) finish() {
	var running []*call
	for _, c := range w.calls {
		if c.runs {
			running = append(running, c)
		}
	}
	if len(running) > 0 {
		w.end(running[w.pick("call", len(running))])
	}
}

// pass lets time pass; requests end at their deadlines.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, c := range w.calls {
		if !c.over && !w.now.Before(c.deadline) {
			w.end(c)
		}
	}
}

// move registers permits with the homes that should count them.
func (w *world) move() {
	for _, c := range w.calls {
		n := w.nodes[c.at]
		if !c.runs || c.dead {
			continue
		}
		if home, ask, ok := n.asker.Move(w.now, n.homes, c.held); ok {
			w.ask(c, home, ask)
		}
	}
}

// deliver delivers one message; with faults perhaps twice.
func (w *world) deliver(i int, faults bool) {
	m := w.messages[i]
	if !faults || w.pick("twice", 8) > 0 {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	m()
}

// fault lets one thing go wrong.
func (w *world) fault() {
	at := w.pick("node", entries)
	switch w.pick("fault", 8) {
	case 0: // the process is killed and started again; its requests go on upstream
		n := w.nodes[at]
		n.ledger, n.asker = share.NewLedger(), share.NewAsker()
		n.incarnation += core.Incarnation(entries)
		for _, c := range w.calls {
			if c.at == at {
				c.dead, c.searching = true, false
			}
		}
	case 1: // its host list changes
		w.nodes[at].homes = views[w.pick("gone", entries+1)][at]
	case 2, 3: // a message is lost
		if len(w.messages) > 0 {
			i := w.pick("lost", len(w.messages))
			w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
		}
	default: // answers are waited for no longer
		for _, c := range w.calls {
			if c.searching {
				w.step(c, c.search.Silent(w.now))
			}
		}
	}
}

// settle ends the faults and lets all permits expire. Then exactly the bound is
// granted.
func (w *world) settle() {
	w.messages = nil
	w.pass(time.Minute)
	w.messages = nil
	w.faulty = false
	for i, n := range w.nodes {
		n.homes = views[entries][i]
	}
	for i := range w.bound + 1 {
		before := w.refusals
		w.begin(i % entries)
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		w.check()
		if refused := w.refusals > before; refused != (i == w.bound) {
			w.fail("request %d of %d after all is quiet: refused %t", i+1, w.bound, refused)
		}
	}
}

// play plays one interleaving.
func play(pick func(string, int) int, broken mutation) *world {
	w := newWorld(pick, broken)
	faults := pick("faults", 3) > 0
	w.within = !faults && pick("within", 2) == 0
	for range turns {
		w.turn(faults)
	}
	w.within = false
	w.settle()
	return w
}

func TestTheBoundHolds(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.checks", strconv.Itoa(interleavings)))
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	played, refused, alone := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, none)
		if w.problem != "" {
			t.Fatal(w.problem)
		}
		played++
		refused += w.refusals
		for _, c := range w.calls {
			if c.alone {
				alone++
			}
		}
	})
	t.Logf("%d interleavings, %d refusals, %d requests without a home", played, refused, alone)
	assert.Assert(t, played >= interleavings && refused > interleavings && alone > interleavings)
}

func TestTheChecksCanFail(t *testing.T) {
	for broken := oneTooMany; broken <= lostRelease; broken++ {
		found := ""
		for seed := range uint64(mutationSearch) {
			random := rand.New(rand.NewPCG(seed, 1))
			if found = play(func(_ string, n int) int { return random.IntN(n) }, broken).problem; found != "" {
				t.Logf("mutation %d, seed %d: %s", broken, seed, found)
				break
			}
		}
		assert.Assert(t, found != "", "mutation %d was not found", broken)
	}
}
