package harness

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/deployment"
)

// twoZones is a fleet that consists of the links between two zones.
func twoZones(t *testing.T) *Fleet {
	out, _, _ := relayed(t)
	in, _, _ := relayed(t)
	store, _, _ := relayed(t)
	return &Fleet{
		Options: Options{Deployment: deployment.Deployment{Zones: []string{"a", "b"}}},
		zoneLinks: []zoneLink{
			{Relay: out, scope: OtherZones, from: "a", to: "b", host: "hb", own: "own-b", seen: "b-from-a"},
			{Relay: in, scope: OtherZones, from: "b", to: "a", host: "ha", own: "own-a", seen: "a-from-b"},
			{Relay: store, scope: ObjectAPI, from: "a"},
		},
	}
}

// TestAPartitionLosesTheBytesOfItsDirection checks which way each link loses.
func TestAPartitionLosesTheBytesOfItsDirection(t *testing.T) {
	f := twoZones(t)
	out, in, store := f.zoneLinks[0].Relay, f.zoneLinks[1].Relay, f.zoneLinks[2].Relay
	f.PartitionZone("a", OtherZones, InboundLost)
	assert.DeepEqual(t, out.silent, [2]bool{FromTarget: true})
	assert.DeepEqual(t, in.silent, [2]bool{ToTarget: true})
	assert.DeepEqual(t, store.silent, [2]bool{})
	f.HealZone("a")
	f.PartitionZone("a", Everything, OutboundLost)
	assert.DeepEqual(t, out.silent, [2]bool{ToTarget: true})
	assert.DeepEqual(t, in.silent, [2]bool{FromTarget: true})
	assert.DeepEqual(t, store.silent, [2]bool{ToTarget: true})
	f.HealZone("a")
	f.PartitionZone("b", Everything, Refused)
	assert.Assert(t, out.cut && in.cut && !store.cut, "the store is not behind zone b's links")
	f.HealZone("b")
	assert.Assert(t, !out.cut && !in.cut)
}

// TestViewsShowTheRelaysOfTheirZone checks how each zone reaches the other's host.
func TestViewsShowTheRelaysOfTheirZone(t *testing.T) {
	views := twoZones(t).Views()
	assert.Equal(t, len(views), 2)
	assert.Equal(t, views[0].Zone, "a")
	assert.Equal(t, len(views[0].Addresses), 1)
	assert.Equal(t, views[0].Addresses[0].Addr, "b-from-a")
	assert.Equal(t, views[1].Addresses[0].Own, "own-a")
}
