package faults

import (
	"context"
	"testing"

	"acaciawinch/standin/harness"
)

// lossy is the zones' partition that the sabotages pretend to play.
var lossy = partition{scope: harness.OtherZones, how: harness.Lost}

// TestLostSideBehindAPartitionIsFoundUnknown lets the claimed stage's side die
// behind a partition, which should have taken nothing away.
func TestLostSideBehindAPartitionIsFoundUnknown(t *testing.T) {
	f := partitionFault("sabotage", siteOptions{Zones: true}, lossy)
	f.inject, f.heal = both(f.inject, killSide), both(f.heal, startSide)
	violates(t, requestCell(f, stepOf("pay flight")), TrueUnknown)
}

// TestHarmBeyondAPartitionIsFound takes the first stage from the other zone, which
// the partition leaves alone.
func TestHarmBeyondAPartitionIsFound(t *testing.T) {
	f := partitionFault("sabotage", siteOptions{Zones: true}, lossy)
	f.inject = both(f.inject, func(_ context.Context, s *Scene) error {
		beyond := s.Site.Fleet.Service(services[stageEncode])[1]
		beyond.Side.Kill()
		s.Site.taps[beyond.Name].Refuse()
		return nil
	})
	violates(t, requestCell(f, stepOf("encode flight")), Harmless)
}

// TestUnheardChangeIsFoundReverted cuts a region off from everything, though only
// the object API should be out of its reach.
func TestUnheardChangeIsFoundReverted(t *testing.T) {
	p := partition{scope: harness.ObjectAPI, how: harness.Refused}
	f := partitionFault("sabotage", siteOptions{Zones: true, Regions: true}, p)
	f.inject = func(_ context.Context, s *Scene) error {
		s.Site.Fleet.PartitionZone(s.zone(), harness.Everything, harness.Refused)
		return nil
	}
	violates(t, courseCell(f, stepAccept), NotReverted)
}

// TestIdleReplacementIsFoundNotRecovered lets nobody reach the side that replaced
// another.
func TestIdleReplacementIsFoundNotRecovered(t *testing.T) {
	refuse := func(_ context.Context, s *Scene) error {
		s.tap().Refuse()
		return nil
	}
	f := Fault{Name: "sabotage", Touch: touchSide, Excludes: always, inject: both(replaceSide, refuse), heal: usesReplacement}
	violates(t, requestCell(f, stepOf("encode flight")), Recovers)
}
