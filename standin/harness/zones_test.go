package harness

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/deployment"
)

// newTwoZoneFleet returns a fleet that has nothing but the links of two zones.
func newTwoZoneFleet(t *testing.T) *Fleet {
	fromA, _, _ := startRelay(t)
	fromB, _, _ := startRelay(t)
	objectAPI, _, _ := startRelay(t)
	return &Fleet{
		Options: Options{Deployment: deployment.Deployment{Zones: []string{"a", "b"}}},
		zoneLinks: []zoneLink{
			{Relay: fromA, scope: OtherZones, from: "a", to: "b", host: "hb", targetAddr: "own-b", relayAddr: "b-from-a"},
			{Relay: fromB, scope: OtherZones, from: "b", to: "a", host: "ha", targetAddr: "own-a", relayAddr: "a-from-b"},
			{Relay: objectAPI, scope: ObjectAPI, from: "a"},
		},
	}
}

// TestAPartitionLosesTheBytesOfItsDirection checks which direction of each link is
// silenced by a one-way partition.
func TestAPartitionLosesTheBytesOfItsDirection(t *testing.T) {
	f := newTwoZoneFleet(t)
	fromA, fromB, objectAPI := f.zoneLinks[0].Relay, f.zoneLinks[1].Relay, f.zoneLinks[2].Relay
	f.PartitionZone("a", OtherZones, InboundLost)
	assert.DeepEqual(t, fromA.silent, [2]bool{FromTarget: true})
	assert.DeepEqual(t, fromB.silent, [2]bool{ToTarget: true})
	assert.DeepEqual(t, objectAPI.silent, [2]bool{})
	f.HealZone("a")
	f.PartitionZone("a", Everything, OutboundLost)
	assert.DeepEqual(t, fromA.silent, [2]bool{ToTarget: true})
	assert.DeepEqual(t, fromB.silent, [2]bool{FromTarget: true})
	assert.DeepEqual(t, objectAPI.silent, [2]bool{ToTarget: true})
	f.HealZone("a")
	f.PartitionZone("b", Everything, Refused)
	assert.Assert(t, fromA.cut && fromB.cut && !objectAPI.cut, "the partition of zone b cut zone a's link to the object API")
	f.HealZone("b")
	assert.Assert(t, !fromA.cut && !fromB.cut)
}

// TestViewsShowTheRelaysOfTheirZone checks that each zone's view has the relay's
// address for the other zone's host.
func TestViewsShowTheRelaysOfTheirZone(t *testing.T) {
	views := newTwoZoneFleet(t).Views()
	assert.Equal(t, len(views), 2)
	assert.Equal(t, views[0].Zone, "a")
	assert.Equal(t, len(views[0].Addresses), 1)
	assert.Equal(t, views[0].Addresses[0].Addr, "b-from-a")
	assert.Equal(t, views[1].Addresses[0].HostAddr, "own-a")
}
