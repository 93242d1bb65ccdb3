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

// policies are the names of all policies.
var policies = []string{Probe2, ProbePool, Random, RoundRobin, LeastLocal}

// TestBoundedLoadHolds places any number of prefixes one after the other.
func TestBoundedLoadHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "upstreams")
		keys := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 200).Draw(t, "prefixes")
		upstreams := NewPicker(sourceOf(hostsIn("a", count)...)).serviceGroup("llm").tiers[OwnZone]
		held := make(map[Upstream]float64)
		for placed, key := range keys {
			bound := boundOf(float64(placed), count)
			ranked := rank(prefixKey(Query{Service: "llm", Prefix: key}), upstreams)
			first := firstWithin(ranked, 1, bound, func(u Upstream) float64 { return held[u] })
			assert.Equal(t, len(first), 1, "nobody is within the bound")
			held[first[0]]++
			mean := float64(placed+1) / float64(count)
			assert.Assert(t, held[first[0]] <= boundFactor*mean+1)
		}
	})
}

// TestHostListChangeMovesOnlyWhatItMust takes an upstream away and brings it back.
func TestHostListChangeMovesOnlyWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsIn("a", rapid.IntRange(2, 60).Draw(t, "upstreams"))
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		all := NewPicker(sourceOf(hosts...)).serviceGroup("llm").tiers[OwnZone]
		shuffled := rapid.Permutation(slices.Delete(slices.Clone(hosts), gone, gone+1)).Draw(t, "order")
		rest := NewPicker(sourceOf(shuffled...)).serviceGroup("llm").tiers[OwnZone]
		for prefix := range uint64(50) {
			key := prefixKey(Query{Service: "llm", Prefix: prefix})
			with, without := rank(key, all), rank(key, rest)
			kept := slices.DeleteFunc(with, func(u Upstream) bool { return string(u.ID) == hosts[gone].Name })
			assert.DeepEqual(t, ids(kept), ids(without))
		}
	})
}

// TestRankingSpreadsPrefixes shows that no upstream leads far more than its share.
func TestRankingSpreadsPrefixes(t *testing.T) {
	upstreams := NewPicker(sourceOf(hostsIn("a", 100)...)).serviceGroup("llm").tiers[OwnZone]
	led := make(map[core.UpstreamID]int)
	for prefix := range uint64(10_000) {
		led[rank(prefixKey(Query{Service: "llm", Prefix: prefix}), upstreams)[0].ID]++
	}
	assert.Equal(t, len(led), 100)
	for id, count := range led {
		assert.Assert(t, count < 150, "%s leads %d of 10,000", id, count)
	}
}

// TestNobodyExcludedIsChosen runs every policy over any fleet and any answers.
func TestNobodyExcludedIsChosen(t *testing.T) {
	model := Model{Name: "m", Version: "1"}
	rapid.Check(t, func(t *rapid.T) {
		var hosts []fleet.Host
		drained := make(map[string]bool)
		bad := make(map[core.UpstreamID]string)
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
				bad[core.UpstreamID(name)] = trouble
			}
			hosts = append(hosts, host)
		}
		w := newWorld(rapid.SampledFrom(policies).Draw(t, "policy"), rapid.Uint64().Draw(t, "seed"))
		source := sourceOf(hosts...)
		source.Drained = func(name string) bool { return drained[name] }
		w.picker = NewPicker(assign(source, model, "u0", "u1", "u2"))
		w.reply = func(u Upstream) Answer {
			load := idle()
			load.Models = []Model{model}
			load.Draining = bad[u.ID] == "draining"
			load.Stalled = bad[u.ID] == "stalled"
			if bad[u.ID] == "no model" {
				load.Models = []Model{{Name: "m", Version: "2"}}
			}
			if bad[u.ID] == "nothing loaded" {
				load.Models = nil
			}
			return Answer{Upstream: u, Answered: bad[u.ID] != "silent", Load: load}
		}
		for range 4 {
			w.now = w.now.Add(50 * ms)
			decision := w.choose(q)
			if decision.OK {
				id := decision.Chosen.Answer.Upstream.ID
				assert.Equal(t, bad[id], "", "%s chose %s", w.policy.Name(), id)
			}
		}
		for _, id := range w.asked {
			assert.Assert(t, !slices.Contains([]string{"leaving", "drained", "excluded", "entry", "other service"}, bad[id]),
				"%s is %s and was asked", id, bad[id])
		}
	})
}

// ids returns the names of upstreams.
func ids(upstreams []Upstream) []core.UpstreamID {
	names := make([]core.UpstreamID, len(upstreams))
	for i, u := range upstreams {
		names[i] = u.ID
	}
	return names
}
