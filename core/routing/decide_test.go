package routing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// plain is a stage without a model.
var plain = Query{Service: "llm"}

// loadsByZone answers with a wait for each zone.
func loadsByZone(waits map[string]time.Duration) func(Upstream) Answer {
	return func(u Upstream) Answer {
		load := idle()
		load.Wait = waits[u.Zone]
		return Answer{Upstream: u, Answered: true, Load: load, RTT: ms}
	}
}

// TestOwnZoneUntilItsWaitIsLonger spills only when it pays.
func TestOwnZoneUntilItsWaitIsLonger(t *testing.T) {
	hosts := append(hostsIn("a", 4), hostsIn("b", 4)...)
	w := newWorld(Probe2, 1, hosts...)
	w.reply = loadsByZone(map[string]time.Duration{"a": 3 * ms})
	d := w.choose(plain)
	assert.Assert(t, d.OK && !d.Spilled)
	assert.Equal(t, len(w.asked), 2, "asked %v", w.asked)

	w.reply = loadsByZone(map[string]time.Duration{"a": 40 * ms})
	d = w.choose(plain)
	assert.Assert(t, d.OK && d.Spilled)
	assert.Equal(t, d.Chosen.Answer.Upstream.Zone, "b")
	assert.Assert(t, len(d.Others) >= 2)

	w.reply = loadsByZone(map[string]time.Duration{"a": 40 * ms, "b": 60 * ms})
	d = w.choose(plain)
	assert.Assert(t, d.OK && !d.Spilled, "the other zone is worse")
}

// TestZoneWithOneUpstreamStillHasTwoChoices fills up from the region.
func TestZoneWithOneUpstreamStillHasTwoChoices(t *testing.T) {
	w := newWorld(Probe2, 1, append(hostsIn("a", 1), hostsIn("b", 2)...)...)
	w.reply = func(u Upstream) Answer {
		load := idle()
		if u.Zone == "a" {
			load.ServiceP50, load.ServiceP95 = time.Second, 2*time.Second
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	d := w.choose(plain)
	assert.Equal(t, d.Chosen.Answer.Upstream.Zone, "b")
}

// TestAllEntriesAgreeOnAPrefix shows affinity without talk, and its limits.
func TestAllEntriesAgreeOnAPrefix(t *testing.T) {
	q := Query{Service: "llm", Engine: true, Prefix: 77}
	warmest := rank(prefixKey(q), NewPicker(sourceOf(hostsIn("a", 20)...)).serviceGroup("llm").tiers[OwnZone])[0]
	chosenWith := func(seed uint64, change func(*Load)) core.UpstreamID {
		w := newWorld(Probe2, seed, hostsIn("a", 20)...)
		w.reply = func(u Upstream) Answer {
			load := idle()
			if u.ID == warmest.ID {
				change(&load)
			}
			return Answer{Upstream: u, Answered: true, Load: load}
		}
		return w.choose(q).Chosen.Answer.Upstream.ID
	}
	for seed := range uint64(10) {
		assert.Equal(t, chosenWith(seed, func(*Load) {}), warmest.ID)
		assert.Equal(t, chosenWith(seed, func(l *Load) { l.InFlight = 1 }), warmest.ID, "a little load keeps it")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.InFlight = 4 }) != warmest.ID, "over the bound")
		assert.Equal(t, chosenWith(seed, func(l *Load) { l.Wait = 15 * ms }), warmest.ID, "a short queue keeps it")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.Wait = 23 * ms }) != warmest.ID, "queues longer than the prefix saves")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.ServiceP50 = time.Second }) != warmest.ID, "a straggler")
	}
}

// TestCachedPrefixIsOnlyAHint takes a cached one among equals, not a slow one.
func TestCachedPrefixIsOnlyAHint(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	cached := func(wait time.Duration) func(Upstream) Answer {
		return func(u Upstream) Answer {
			load := idle()
			if u.ID == "a-1" {
				load.Wait = wait
			}
			return Answer{Upstream: u, Answered: true, Load: load, PrefixCached: u.ID == "a-1"}
		}
	}
	w.reply = cached(5 * ms)
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
	w.reply = cached(50 * ms)
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-0"))
}

// TestRefusalNamesTheSmallestWait refuses what nobody can finish in time.
func TestRefusalNamesTheSmallestWait(t *testing.T) {
	w := newWorld(Probe2, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	w.reply = loadsByZone(map[string]time.Duration{"a": 900 * ms, "b": 700 * ms})
	d := w.choose(Query{Service: "llm", Remaining: 500 * ms})
	assert.Assert(t, !d.OK)
	assert.Equal(t, d.RetryAfter, 700*ms)
	assert.Equal(t, len(d.Others), 4)
	assert.Assert(t, strings.HasPrefix(d.Others[0].Reason, "needs "), d.Others[0].Reason)
	assert.Assert(t, w.choose(Query{Service: "llm", Remaining: 900 * ms}).OK)
}

// TestShortAnswerFitsAShortDeadline bounds the service time by the answer's length.
func TestShortAnswerFitsAShortDeadline(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.ServiceP50, load.GapP95 = 2*time.Second, 30*ms
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	q := Query{Service: "llm", Remaining: time.Second}
	assert.Assert(t, !w.choose(q).OK)
	q.MaxTokens = 10
	assert.Assert(t, w.choose(q).OK)
}

// TestPlacementIsTriedFirstAndNotTrusted goes on to others when it runs ahead.
func TestPlacementIsTriedFirstAndNotTrusted(t *testing.T) {
	model := Model{Name: "m", Version: "1"}
	q := Query{Service: "llm", Engine: true, Model: model}
	w := newWorld(Probe2, 1)
	w.picker = NewPicker(assign(sourceOf(hostsIn("a", 8)...), model, "a-2", "a-5"))
	loaded := map[core.UpstreamID]bool{"a-2": true, "a-5": true}
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.Models = []Model{{Name: "other"}}
		if loaded[u.ID] {
			load.Models = []Model{model}
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	for range 10 {
		assert.Assert(t, loaded[w.choose(q).Chosen.Answer.Upstream.ID])
	}
	assert.Equal(t, len(w.asked), 20)
	loaded = map[core.UpstreamID]bool{}
	for _, host := range hostsIn("a", 8)[6:] {
		loaded[core.UpstreamID(host.Name)] = true
	}
	found := 0
	for range 10 {
		if w.choose(q).OK {
			found++
		}
	}
	assert.Assert(t, found > 0, "nobody beyond the placement was asked")
}

// TestDrainingUpstreamIsNotAskedAgainAtOnce remembers what a side said of itself.
func TestDrainingUpstreamIsNotAskedAgainAtOnce(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 3)...)
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.Draining = u.ID == "a-1"
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	asked := func() int {
		count := 0
		for range 20 {
			assert.Assert(t, w.choose(plain).OK)
		}
		for _, id := range w.asked {
			if id == "a-1" {
				count++
			}
		}
		return count
	}
	assert.Equal(t, asked(), 1)
	w.now = w.now.Add(refusalLife + 1)
	assert.Equal(t, asked(), 2)
}

// TestNearerZoneIsTaken weighs the measured distance of other zones.
func TestNearerZoneIsTaken(t *testing.T) {
	w := newWorld(Probe2, 1, append(hostsIn("b", 1), hostsIn("c", 1)...)...)
	w.reply = func(u Upstream) Answer {
		load, rtt := idle(), ms
		if u.Zone == "c" {
			load.InFlight, rtt = 0, 80*ms
		} else {
			load.InFlight = 2
		}
		return Answer{Upstream: u, Answered: true, Load: load, RTT: rtt}
	}
	d := w.choose(plain)
	assert.Equal(t, d.Chosen.Answer.Upstream.Zone, "b")
	assert.Equal(t, d.Others[0].Expected, 180*ms)
}

// TestRoundRobinTakesTurns goes through all upstreams.
func TestRoundRobinTakesTurns(t *testing.T) {
	w := newWorld(RoundRobin, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	taken := make(map[core.UpstreamID]int)
	for range 12 {
		taken[w.choose(plain).Chosen.Answer.Upstream.ID]++
	}
	assert.DeepEqual(t, taken, map[core.UpstreamID]int{"a-0": 3, "a-1": 3, "b-0": 3, "b-1": 3})
}
