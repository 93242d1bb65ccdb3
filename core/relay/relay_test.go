package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
)

// hostsOf returns entries spread over zones, two zones to a region, and as many upstreams.
func hostsOf(zones, perZone int) []fleet.Host {
	var hosts []fleet.Host
	for z := range zones {
		for i := range perZone {
			host := fleet.Host{Role: fleet.RoleEntry, Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2)}
			host.Name = fmt.Sprintf("e%d-%d", z, i)
			upstream := host
			upstream.Role, upstream.Name = fleet.RoleUpstream, fmt.Sprintf("u%d-%d", z, i)
			hosts = append(hosts, host, upstream)
		}
	}
	return hosts
}

// names returns the names of hosts.
func names(hosts []fleet.Host) []string {
	var all []string
	for _, host := range hosts {
		all = append(all, host.Name)
	}
	return all
}

func TestEveryZoneHasItsRelaysWhateverTheOrderOfTheList(t *testing.T) {
	hosts := hostsOf(4, 10)
	want := names(Relays(hosts, 3))
	assert.Equal(t, len(want), 12)
	counts := map[string]int{}
	for _, host := range Relays(hosts, 3) {
		assert.Equal(t, host.Role, fleet.RoleEntry)
		counts[host.Zone]++
	}
	assert.DeepEqual(t, counts, map[string]int{"z0": 3, "z1": 3, "z2": 3, "z3": 3})
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	assert.DeepEqual(t, names(Relays(hosts, 3)), want)
	assert.Assert(t, IsRelay(want[0], hosts, 3))
	assert.Assert(t, !IsRelay("u0-0", hosts, 3))
}

func TestARelayThatLeavesIsReplacedAndNoOtherChanges(t *testing.T) {
	hosts := hostsOf(2, 10)
	before := names(Relays(hosts, 3))
	i := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == before[1] })
	hosts[i].Leaving = true
	after := names(Relays(hosts, 3))
	assert.Equal(t, len(after), 6)
	assert.Assert(t, !slices.Contains(after, before[1]))
	for _, name := range slices.Delete(slices.Clone(before), 1, 2) {
		assert.Assert(t, slices.Contains(after, name))
	}
}

func TestASubscriberPrefersNearRelaysThenOtherEntries(t *testing.T) {
	hosts := hostsOf(4, 5)
	order := Subscriber{Name: "e0-1", Zone: "z0", Region: "r0"}.Order(hosts, 2)
	assert.Equal(t, len(order), 19)
	assert.Assert(t, !slices.Contains(names(order), "e0-1"))
	relays := names(Relays(hosts, 2))
	rank := func(h fleet.Host) int {
		distances := map[string]int{"z0": 0, "z1": 1}
		distance, known := distances[h.Zone]
		if !known {
			distance = 2
		}
		if !slices.Contains(relays, h.Name) {
			distance += 3
		}
		return distance
	}
	assert.Assert(t, slices.IsSortedFunc(order, func(a, b fleet.Host) int { return rank(a) - rank(b) }))
}

func TestSubscribersSpreadOverTheRelaysOfTheirZone(t *testing.T) {
	hosts := hostsOf(2, 20)
	counts := map[string]int{}
	for i := range 400 {
		order := Subscriber{Name: fmt.Sprint("s", i), Zone: "z1", Region: "r0"}.Order(hosts, 4)
		assert.Equal(t, order[0].Zone, "z1")
		counts[order[0].Name]++
	}
	assert.Equal(t, len(counts), 4)
	for name, count := range counts {
		assert.Assert(t, count > 70 && count < 130, "%s has %d of 400", name, count)
	}
}

func TestAZoneWithoutEntriesUsesItsRegion(t *testing.T) {
	order := Subscriber{Name: "u", Zone: "z9", Region: "r1"}.Order(hostsOf(4, 3), 1)
	assert.Equal(t, order[0].Region, "r1")
}
