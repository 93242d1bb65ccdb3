package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
)

// repliesExcept returns a reply function in which the listed upstreams do not reply.
func repliesExcept(silent *[]core.UpstreamID) func(Upstream) ProbeResult {
	return func(u Upstream) ProbeResult {
		return ProbeResult{Upstream: u, Replied: !slices.Contains(*silent, u.ID), Load: idle()}
	}
}

// TestSilentUpstreamIsProbedOnce checks that each of many upstreams that fall silent
// together costs at most one probe.
func TestSilentUpstreamIsProbedOnce(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 20)...)
	silent := ids(h.picker.serviceGroup("llm").tiers[OwnZone])[:10]
	h.reply = repliesExcept(&silent)
	for range 200 {
		assert.Assert(t, h.choose(plainQuery).OK)
	}
	probes := make(map[core.UpstreamID]int)
	for _, id := range h.probed {
		probes[id]++
	}
	for _, id := range silent {
		assert.Assert(t, probes[id] <= 1, "%s was probed %d times", id, probes[id])
	}
	assert.Equal(t, h.table.SuspectedCount(), 10)
}

// TestAllSuspectedAreTriedAnyway checks that suspicion alone does not cause a refusal.
func TestAllSuspectedAreTriedAnyway(t *testing.T) {
	for _, name := range policyNames {
		h := newHarness(name, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
		silent := ids(append(h.picker.serviceGroup("llm").tiers[OwnZone], h.picker.serviceGroup("llm").tiers[OwnRegion]...))
		h.reply = repliesExcept(&silent)
		for range 4 {
			assert.Assert(t, !h.choose(plainQuery).OK, name)
		}
		assert.Equal(t, h.table.SuspectedCount(), 4, name)
		silent = nil
		assert.Assert(t, h.choose(plainQuery).OK, name)
	}
}

// TestSuspicionGrowsAndEnds checks the length of repeated suspicions and that a reply ends
// them.
func TestSuspicionGrowsAndEnds(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 1)...)
	u, _ := h.picker.Upstream("a-0")
	previous := time.Duration(0)
	for strikes := 1; strikes <= 5; strikes++ {
		s, added := h.table.RecordSilence(u.ID, SilentProbe, h.now, h.random)
		assert.Assert(t, added)
		assert.Equal(t, s.Strikes, strikes)
		assert.Assert(t, s.Length > previous)
		previous = s.Length
		_, added = h.table.RecordSilence(u.ID, SilentProbe, h.now, h.random)
		assert.Assert(t, !added, "the same silence counts once")
		assert.Equal(t, len(h.table.Due(s.Until.Add(-1), 9)), 0)
		assert.DeepEqual(t, h.table.Due(s.Until, 9), []core.UpstreamID{u.ID})
		h.now = s.Until
	}
	for range 20 {
		s, _ := h.table.RecordSilence(u.ID, SilentProbe, h.now, h.random)
		h.now = s.Until
		assert.Assert(t, s.Length <= maxSuspicion*5/4)
	}
	assert.Assert(t, h.table.RecordReply(ProbeResult{Upstream: u, Replied: true}, h.now))
	assert.Assert(t, !h.table.Suspected(u.ID))
}

// TestSuspicionIsJittered checks that entries retry a suspected upstream at different
// times.
func TestSuspicionIsJittered(t *testing.T) {
	lengths := make(map[time.Duration]bool)
	for seed := range uint64(50) {
		h := newHarness(Probe2, seed, hostsIn("a", 1)...)
		s, _ := h.table.RecordSilence("a-0", SilentProbe, h.now, h.random)
		assert.Assert(t, s.Length >= minSuspicion*3/4 && s.Length <= minSuspicion*5/4)
		lengths[s.Length] = true
	}
	assert.Assert(t, len(lengths) > 40)
}

// TestSilentWorkSuspicionOutlastsProbeReplies covers an upstream that hangs while its
// sidecar goes on replying to probes.
func TestSilentWorkSuspicionOutlastsProbeReplies(t *testing.T) {
	h := newHarness(Probe2, 1, hostsIn("a", 1)...)
	u, _ := h.picker.Upstream("a-0")
	reply := ProbeResult{Upstream: u, Replied: true}
	s, _ := h.table.RecordSilence(u.ID, SilentWork, h.now, h.random)
	assert.Assert(t, !h.table.RecordReply(reply, h.now))
	assert.Assert(t, h.table.Suspected(u.ID))
	h.now = s.Until
	assert.Assert(t, h.table.RecordReply(reply, h.now))
	assert.Assert(t, !h.table.Suspected(u.ID))
	s, _ = h.table.RecordSilence(u.ID, SilentWork, h.now, h.random)
	assert.Equal(t, s.Strikes, 2, "a probe reply resets no strikes")
	h.table.RecordEnd(u.ID, true)
	assert.Assert(t, !h.table.Suspected(u.ID))
	s, _ = h.table.RecordSilence(u.ID, SilentWork, h.now, h.random)
	assert.Equal(t, s.Strikes, 1, "finished work resets the strikes")
}

// TestAnotherHostUnderTheSameNameIsNotSuspected checks that a changed address clears the
// suspicion.
func TestAnotherHostUnderTheSameNameIsNotSuspected(t *testing.T) {
	hosts := hostsIn("a", 2)
	h := newHarness(Probe2, 1, hosts...)
	for _, u := range h.picker.serviceGroup("llm").tiers[OwnZone] {
		h.probe(u)
		h.table.RecordSilence(u.ID, SilentProbe, h.now, h.random)
	}
	hosts[0].Addr = "elsewhere"
	h.table.Prune(NewPicker(sourceOf(hosts...)))
	assert.Assert(t, !h.table.Suspected("a-0"))
	assert.Assert(t, h.table.Suspected("a-1"))
}

// TestExpectedReplyTimeFollowsTheHostsLoad checks that the expected reply time grows with late
// replies and shrinks again.
func TestExpectedReplyTimeFollowsTheHostsLoad(t *testing.T) {
	table := NewTable()
	assert.Equal(t, table.ExpectedReplyTime("a"), time.Duration(0))
	after := func(count int, rtts ...time.Duration) time.Duration {
		for i := range count {
			table.observeRTT("a", rtts[i%len(rtts)])
		}
		return table.ExpectedReplyTime("a")
	}
	idleHosts := after(100, ms, ms+ms/10)
	assert.Assert(t, idleHosts < 3*ms/2, "%s", idleHosts)
	busyHosts := after(100, 2*ms, 40*ms)
	assert.Assert(t, busyHosts > 40*ms, "%s", busyHosts)
	assert.Assert(t, table.RTT("a") < 3*ms, "load must not raise the minimum round trip")
	slowPath := after(100, 30*ms)
	assert.Assert(t, slowPath >= 30*ms && slowPath < 35*ms, "%s", slowPath)
	assert.Assert(t, after(100, ms) < 3*ms/2)
}
