package routing

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
)

// policyNames are the names of all policies.
var policyNames = []string{Probe2, ProbePool, Random, RoundRobin, LeastLocal}

// TestBoundedLoadHolds checks the load bound for any sequence of prefixes.
func TestBoundedLoadHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "upstreams")
		keys := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 200).Draw(t, "prefixes")
		upstreams := NewPicker(sourceOf(hostsIn("a", count)...)).serviceGroup("llm").tiers[OwnZone]
		pending := make(map[Upstream]float64)
		for placed, key := range keys {
			bound := loadBound(float64(placed), count)
			ranked := rank(prefixKey(Query{Service: "llm", Prefix: key}), upstreams)
			first := firstWithin(ranked, 1, bound, func(u Upstream) float64 { return pending[u] })
			assert.Equal(t, len(first), 1, "no upstream is within the bound")
			pending[first[0]]++
			mean := float64(placed+1) / float64(count)
			assert.Assert(t, pending[first[0]] <= boundFactor*mean+1)
		}
	})
}

// TestHostListChangeMovesOnlyWhatItMust checks that removing an upstream leaves the order
// of the others unchanged in every ranking, whatever the order of the host list.
func TestHostListChangeMovesOnlyWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsIn("a", rapid.IntRange(2, 60).Draw(t, "upstreams"))
		removed := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		all := NewPicker(sourceOf(hosts...)).serviceGroup("llm").tiers[OwnZone]
		shuffled := rapid.Permutation(slices.Delete(slices.Clone(hosts), removed, removed+1)).Draw(t, "order")
		remaining := NewPicker(sourceOf(shuffled...)).serviceGroup("llm").tiers[OwnZone]
		for prefix := range uint64(50) {
			key := prefixKey(Query{Service: "llm", Prefix: prefix})
			with, without := rank(key, all), rank(key, remaining)
			expected := slices.DeleteFunc(with, func(u Upstream) bool { return string(u.ID) == hosts[removed].Name })
			assert.DeepEqual(t, ids(expected), ids(without))
		}
	})
}

// TestRankingSpreadsPrefixes checks that no upstream ranks first for far more than its
// share of prefixes.
func TestRankingSpreadsPrefixes(t *testing.T) {
	upstreams := NewPicker(sourceOf(hostsIn("a", 100)...)).serviceGroup("llm").tiers[OwnZone]
	counts := make(map[core.UpstreamID]int)
	for prefix := range uint64(10_000) {
		counts[rank(prefixKey(Query{Service: "llm", Prefix: prefix}), upstreams)[0].ID]++
	}
	assert.Equal(t, len(counts), 100)
	for id, count := range counts {
		assert.Assert(t, count < 150, "%s ranks first for %d of 10,000", id, count)
	}
}

// TestExcludedUpstreamIsNeverChosen checks every policy over any fleet and any replies: an
// upstream that cannot take the work is never chosen, and one that must get no new work is
// never probed.
func TestExcludedUpstreamIsNeverChosen(t *testing.T) {
	model := Model{Name: "m", Version: "1"}
	rapid.Check(t, func(t *rapid.T) {
		var hosts []fleet.Host
		drained := make(map[string]bool)
		troubles := make(map[core.UpstreamID]string)
		q := Query{Service: "llm", Engine: true, Model: model, Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix")}
		for i := range rapid.IntRange(0, 12).Draw(t, "upstreams") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			name := fmt.Sprint("u", i)
			host := fleet.Host{Name: name, Role: fleet.RoleUpstream, Service: "llm", Zone: zone, Region: "r", Addr: name}
			trouble := rapid.SampledFrom([]string{"", "", "leaving", "drained", "excluded", "entry", "other service",
				"draining", "stalled", "no model", "nothing loaded", "silent"}).Draw(t, "trouble")
			switch trouble {
			case "leaving":
				host.Leaving = true
			case "drained":
				drained[name] = true
			case "excluded":
				q.Exclude = append(q.Exclude, core.UpstreamID(name))
			case "entry":
				host.Role = fleet.RoleEntry
			case "other service":
				host.Service = "encoder"
			}
			if trouble != "" {
				troubles[core.UpstreamID(name)] = trouble
			}
			hosts = append(hosts, host)
		}
		h := newHarness(rapid.SampledFrom(policyNames).Draw(t, "policy"), rapid.Uint64().Draw(t, "seed"))
		source := sourceOf(hosts...)
		source.Drained = func(name string) bool { return drained[name] }
		h.picker = NewPicker(withAssignments(source, model, "u0", "u1", "u2"))
		h.reply = func(u Upstream) ProbeResult {
			load := idle()
			load.Models = []Model{model}
			load.Draining = troubles[u.ID] == "draining"
			load.Stalled = troubles[u.ID] == "stalled"
			if troubles[u.ID] == "no model" {
				load.Models = []Model{{Name: "m", Version: "2"}}
			}
			if troubles[u.ID] == "nothing loaded" {
				load.Models = nil
			}
			return ProbeResult{Upstream: u, Replied: troubles[u.ID] != "silent", Load: load}
		}
		for range 4 {
			h.now = h.now.Add(50 * ms)
			decision := h.choose(q)
			if decision.OK {
				id := decision.Chosen.Result.Upstream.ID
				assert.Equal(t, troubles[id], "", "%s chose %s", h.policy.Name(), id)
			}
		}
		for _, id := range h.probed {
			assert.Assert(t, !slices.Contains([]string{"leaving", "drained", "excluded", "entry", "other service"}, troubles[id]),
				"%s is %s and was probed", id, troubles[id])
		}
	})
}

// ids returns the IDs of upstreams.
func ids(upstreams []Upstream) []core.UpstreamID {
	list := make([]core.UpstreamID, len(upstreams))
	for i, u := range upstreams {
		list[i] = u.ID
	}
	return list
}
