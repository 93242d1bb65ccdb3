package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// silence returns a reply function in which the named upstreams don't answer.
func silence(silent *[]core.UpstreamID) func(Upstream) Answer {
	return func(u Upstream) Answer {
		return Answer{Upstream: u, Answered: !slices.Contains(*silent, u.ID), Load: idle()}
	}
}

// TestEachSilentUpstreamIsMetOnce loses half of a zone at one moment.
func TestEachSilentUpstreamIsMetOnce(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 20)...)
	silent := ids(w.picker.serviceGroup("llm").tiers[OwnZone])[:10]
	w.reply = silence(&silent)
	for range 200 {
		assert.Assert(t, w.choose(plain).OK)
	}
	met := make(map[core.UpstreamID]int)
	for _, id := range w.asked {
		met[id]++
	}
	for _, id := range silent {
		assert.Assert(t, met[id] <= 1, "%s was asked %d times", id, met[id])
	}
	assert.Equal(t, w.table.SuspectedCount(), 10)
}

// TestAllSuspectedAreTriedAnyway refuses nobody out of suspicion alone.
func TestAllSuspectedAreTriedAnyway(t *testing.T) {
	for _, name := range policies {
		w := newWorld(name, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
		silent := ids(append(w.picker.serviceGroup("llm").tiers[OwnZone], w.picker.serviceGroup("llm").tiers[OwnRegion]...))
		w.reply = silence(&silent)
		for range 4 {
			assert.Assert(t, !w.choose(plain).OK, name)
		}
		assert.Equal(t, w.table.SuspectedCount(), 4, name)
		silent = nil
		assert.Assert(t, w.choose(plain).OK, name)
	}
}

// TestSuspicionGrowsAndEnds follows one upstream.
func TestSuspicionGrowsAndEnds(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 1)...)
	u, _ := w.picker.Upstream("a-0")
	previous := time.Duration(0)
	for strikes := 1; strikes <= 5; strikes++ {
		s, struck := w.table.Silent(u.ID, SilentProbe, w.now, w.random)
		assert.Assert(t, struck)
		assert.Equal(t, s.Strikes, strikes)
		assert.Assert(t, s.Length > previous)
		previous = s.Length
		_, struck = w.table.Silent(u.ID, SilentProbe, w.now, w.random)
		assert.Assert(t, !struck, "the same silence counts once")
		assert.Equal(t, len(w.table.Due(s.Until.Add(-1), 9)), 0)
		assert.DeepEqual(t, w.table.Due(s.Until, 9), []core.UpstreamID{u.ID})
		w.now = s.Until
	}
	for range 20 {
		s, _ := w.table.Silent(u.ID, SilentProbe, w.now, w.random)
		w.now = s.Until
		assert.Assert(t, s.Length <= longestSuspicion*5/4)
	}
	assert.Assert(t, w.table.Answered(Answer{Upstream: u, Answered: true}, w.now))
	assert.Assert(t, !w.table.Suspected(u.ID))
}

// TestEntriesComeBackAtDifferentTimes shows the jitter.
func TestEntriesComeBackAtDifferentTimes(t *testing.T) {
	lengths := make(map[time.Duration]bool)
	for seed := range uint64(50) {
		w := newWorld(Probe2, seed, hostsIn("a", 1)...)
		s, _ := w.table.Silent("a-0", SilentProbe, w.now, w.random)
		assert.Assert(t, s.Length >= firstSuspicion*3/4 && s.Length <= firstSuspicion*5/4)
		lengths[s.Length] = true
	}
	assert.Assert(t, len(lengths) > 40)
}

// TestSilentWorkOutlastsAnsweredProbes: a side may answer while its upstream hangs.
func TestSilentWorkOutlastsAnsweredProbes(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 1)...)
	u, _ := w.picker.Upstream("a-0")
	alive := Answer{Upstream: u, Answered: true}
	s, _ := w.table.Silent(u.ID, SilentWork, w.now, w.random)
	assert.Assert(t, !w.table.Answered(alive, w.now))
	assert.Assert(t, w.table.Suspected(u.ID))
	w.now = s.Until
	assert.Assert(t, w.table.Answered(alive, w.now))
	assert.Assert(t, !w.table.Suspected(u.ID))
	s, _ = w.table.Silent(u.ID, SilentWork, w.now, w.random)
	assert.Equal(t, s.Strikes, 2, "an answered probe takes no strike back")
	w.table.Ended(u.ID, true)
	assert.Assert(t, !w.table.Suspected(u.ID))
	s, _ = w.table.Silent(u.ID, SilentWork, w.now, w.random)
	assert.Equal(t, s.Strikes, 1, "finished work does")
}

// TestAnotherHostUnderTheSameNameIsNotSuspected follows the host list.
func TestAnotherHostUnderTheSameNameIsNotSuspected(t *testing.T) {
	hosts := hostsIn("a", 2)
	w := newWorld(Probe2, 1, hosts...)
	for _, u := range w.picker.serviceGroup("llm").tiers[OwnZone] {
		w.probe(u)
		w.table.Silent(u.ID, SilentProbe, w.now, w.random)
	}
	hosts[0].Addr = "elsewhere"
	w.table.Keep(NewPicker(sourceOf(hosts...)))
	assert.Assert(t, !w.table.Suspected("a-0"))
	assert.Assert(t, w.table.Suspected("a-1"))
}

// TestPatienceFollowsTheHostsLoad grows with late answers and shrinks again.
func TestPatienceFollowsTheHostsLoad(t *testing.T) {
	table := NewTable()
	assert.Equal(t, table.Patience("a"), time.Duration(0))
	after := func(count int, rtts ...time.Duration) time.Duration {
		for i := range count {
			table.observeRTT("a", rtts[i%len(rtts)])
		}
		return table.Patience("a")
	}
	calm := after(100, ms, ms+ms/10)
	assert.Assert(t, calm < 3*ms/2, "%s", calm)
	busy := after(100, 2*ms, 40*ms)
	assert.Assert(t, busy > 40*ms, "%s", busy)
	assert.Assert(t, table.RTT("a") < 3*ms, "the distance is not the load")
	steady := after(100, 30*ms)
	assert.Assert(t, steady >= 30*ms && steady < 35*ms, "%s", steady)
	assert.Assert(t, after(100, ms) < 3*ms/2)
}
