package routing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// plainQuery is a query of a stage without a model.
var plainQuery = Query{Service: "llm"}

// waitByZone returns a reply function in which the upstreams of each zone report the given
// wait.
func waitByZone(waits map[string]time.Duration) func(Upstream) ProbeResult {
	return func(u Upstream) ProbeResult {
		load := idle()
		load.Wait = waits[u.Zone]
		return ProbeResult{Upstream: u, Replied: true, Load: load, RTT: ms}
	}
}

// TestSpillsOnlyWhenOwnZoneWaitsLonger checks that a decision leaves the own zone only when
// the wait there exceeds the wait in another zone.
func TestSpillsOnlyWhenOwnZoneWaitsLonger(t *testing.T) {
	hosts := append(hostsIn("a", 4), hostsIn("b", 4)...)
	h := newHarness(Probe2, 1, hosts...)
	h.reply = waitByZone(map[string]time.Duration{"a": 3 * ms})
	d := h.choose(plainQuery)
	assert.Assert(t, d.OK && !d.Spilled)
	assert.Equal(t, len(h.probed), 2, "probed %v", h.probed)

	h.reply = waitByZone(map[string]time.Duration{"a": 40 * ms})
	d = h.choose(plainQuery)
	assert.Assert(t, d.OK && d.Spilled)
	assert.Equal(t, d.Chosen.Result.Upstream.Zone, "b")
	assert.Assert(t, len(d.Others) >= 2)

	h.reply = waitByZone(map[string]time.Duration{"a": 40 * ms, "b": 60 * ms})
	d = h.choose(plainQuery)
	assert.Assert(t, d.OK && !d.Spilled, "the other zone has a longer wait")
}

// TestZoneWithOneUpstreamStillHasTwoChoices checks that the second upstream to probe is
// taken from the region if the zone has only one.
func TestZoneWithOneUpstreamStillHasTwoChoices(t *testing.T) {
	h := newHarness(Probe2, 1, append(hostsIn("a", 1), hostsIn("b", 2)...)...)
	h.reply = func(u Upstream) ProbeResult {
		load := idle()
		if u.Zone == "a" {
			load.ServiceP50, load.ServiceP95 = time.Second, 2*time.Second
		}
		return ProbeResult{Upstream: u, Replied: true, Load: load}
	}
	d := h.choose(plainQuery)
	assert.Equal(t, d.Chosen.Result.Upstream.Zone, "b")
}

// TestAllEntriesAgreeOnAPrefix checks that entries choose the same upstream for a prefix
// without coordination, unless it is too loaded or too slow.
func TestAllEntriesAgreeOnAPrefix(t *testing.T) {
	q := Query{Service: "llm", Engine: true, Prefix: 77}
	warmest := rank(prefixKey(q), NewPicker(sourceOf(hostsIn("a", 20)...)).serviceGroup("llm").tiers[OwnZone])[0]
	chosenWith := func(seed uint64, change func(*Load)) core.UpstreamID {
		h := newHarness(Probe2, seed, hostsIn("a", 20)...)
		h.reply = func(u Upstream) ProbeResult {
			load := idle()
			if u.ID == warmest.ID {
				change(&load)
			}
			return ProbeResult{Upstream: u, Replied: true, Load: load}
		}
		return h.choose(q).Chosen.Result.Upstream.ID
	}
	for seed := range uint64(10) {
		assert.Equal(t, chosenWith(seed, func(*Load) {}), warmest.ID)
		assert.Equal(t, chosenWith(seed, func(l *Load) { l.InFlight = 1 }), warmest.ID, "a light load does not move the prefix")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.InFlight = 4 }) != warmest.ID, "the load is over the bound")
		assert.Equal(t, chosenWith(seed, func(l *Load) { l.Wait = 15 * ms }), warmest.ID, "a short queue does not move the prefix")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.Wait = 23 * ms }) != warmest.ID, "the wait exceeds what the cached prefix saves")
		assert.Assert(t, chosenWith(seed, func(l *Load) { l.ServiceP50 = time.Second }) != warmest.ID, "a straggler")
	}
}

// TestCachedPrefixIsOnlyAHint checks that a cached prefix decides between similar upstreams
// but does not outweigh a long wait.
func TestCachedPrefixIsOnlyAHint(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 2)...)
	cachedAfterWait := func(wait time.Duration) func(Upstream) ProbeResult {
		return func(u Upstream) ProbeResult {
			load := idle()
			if u.ID == "a-1" {
				load.Wait = wait
			}
			return ProbeResult{Upstream: u, Replied: true, Load: load, PrefixCached: u.ID == "a-1"}
		}
	}
	h.reply = cachedAfterWait(5 * ms)
	assert.Equal(t, h.choose(plainQuery).Chosen.Result.Upstream.ID, core.UpstreamID("a-1"))
	h.reply = cachedAfterWait(50 * ms)
	assert.Equal(t, h.choose(plainQuery).Chosen.Result.Upstream.ID, core.UpstreamID("a-0"))
}

// TestRefusalNamesTheSmallestWait checks that a query that no upstream can finish in time
// is refused with the smallest wait as RetryAfter.
func TestRefusalNamesTheSmallestWait(t *testing.T) {
	h := newHarness(Probe2, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	h.reply = waitByZone(map[string]time.Duration{"a": 900 * ms, "b": 700 * ms})
	d := h.choose(Query{Service: "llm", Remaining: 500 * ms})
	assert.Assert(t, !d.OK)
	assert.Equal(t, d.RetryAfter, 700*ms)
	assert.Equal(t, len(d.Others), 4)
	assert.Assert(t, strings.HasPrefix(d.Others[0].Reason, "needs "), d.Others[0].Reason)
	assert.Assert(t, h.choose(Query{Service: "llm", Remaining: 900 * ms}).OK)
}

// TestShortResultFitsAShortDeadline checks that a bound on the length of the result bounds
// its service time.
func TestShortResultFitsAShortDeadline(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 2)...)
	h.reply = func(u Upstream) ProbeResult {
		load := idle()
		load.ServiceP50, load.ChunkGapP95 = 2*time.Second, 30*ms
		return ProbeResult{Upstream: u, Replied: true, Load: load}
	}
	q := Query{Service: "llm", Remaining: time.Second}
	assert.Assert(t, !h.choose(q).OK)
	q.MaxTokens = 10
	assert.Assert(t, h.choose(q).OK)
}

// TestPlacementIsPreferredButVerified checks that engines outside the placement are tried
// when those in it have not loaded the model.
func TestPlacementIsPreferredButVerified(t *testing.T) {
	model := Model{Name: "m", Version: "1"}
	q := Query{Service: "llm", Engine: true, Model: model}
	h := newHarness(Probe2, 1)
	h.picker = NewPicker(withAssignments(sourceOf(hostsIn("a", 8)...), model, "a-2", "a-5"))
	loaded := map[core.UpstreamID]bool{"a-2": true, "a-5": true}
	h.reply = func(u Upstream) ProbeResult {
		load := idle()
		load.Models = []Model{{Name: "other"}}
		if loaded[u.ID] {
			load.Models = []Model{model}
		}
		return ProbeResult{Upstream: u, Replied: true, Load: load}
	}
	for range 10 {
		assert.Assert(t, loaded[h.choose(q).Chosen.Result.Upstream.ID])
	}
	assert.Equal(t, len(h.probed), 20)
	loaded = map[core.UpstreamID]bool{}
	for _, host := range hostsIn("a", 8)[6:] {
		loaded[core.UpstreamID(host.Name)] = true
	}
	found := 0
	for range 10 {
		if h.choose(q).OK {
			found++
		}
	}
	assert.Assert(t, found > 0, "no upstream outside the placement was probed")
}

// TestDrainingUpstreamIsNotProbedAgainAtOnce checks that a reported drain is remembered for
// unavailableTTL.
func TestDrainingUpstreamIsNotProbedAgainAtOnce(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 3)...)
	h.reply = func(u Upstream) ProbeResult {
		load := idle()
		load.Draining = u.ID == "a-1"
		return ProbeResult{Upstream: u, Replied: true, Load: load}
	}
	probesAfterChoices := func() int {
		count := 0
		for range 20 {
			assert.Assert(t, h.choose(plainQuery).OK)
		}
		for _, id := range h.probed {
			if id == "a-1" {
				count++
			}
		}
		return count
	}
	assert.Equal(t, probesAfterChoices(), 1)
	h.now = h.now.Add(unavailableTTL + 1)
	assert.Equal(t, probesAfterChoices(), 2)
}

// TestNearerZoneIsChosen checks that the measured extra latency of other zones counts.
func TestNearerZoneIsChosen(t *testing.T) {
	h := newHarness(Probe2, 1, append(hostsIn("b", 1), hostsIn("c", 1)...)...)
	h.reply = func(u Upstream) ProbeResult {
		load, rtt := idle(), ms
		if u.Zone == "c" {
			load.InFlight, rtt = 0, 80*ms
		} else {
			load.InFlight = 2
		}
		return ProbeResult{Upstream: u, Replied: true, Load: load, RTT: rtt}
	}
	d := h.choose(plainQuery)
	assert.Equal(t, d.Chosen.Result.Upstream.Zone, "b")
	assert.Equal(t, d.Others[0].Expected, 180*ms)
}

// TestRoundRobinTakesTurns checks that all upstreams are chosen equally often.
func TestRoundRobinTakesTurns(t *testing.T) {
	h := newHarness(RoundRobin, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	counts := make(map[core.UpstreamID]int)
	for range 12 {
		counts[h.choose(plainQuery).Chosen.Result.Upstream.ID]++
	}
	assert.DeepEqual(t, counts, map[core.UpstreamID]int{"a-0": 3, "a-1": 3, "b-0": 3, "b-1": 3})
}
