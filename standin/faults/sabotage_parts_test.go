package faults

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
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
	soon := func(ctx context.Context, s *Scene) error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return usesReplacement(ctx, s)
	}
	f := Fault{Name: "sabotage", Touch: touchSide, Excludes: always, inject: both(replaceSide, refuse), heal: soon}
	violates(t, requestCell(f, stepOf("encode flight")), Recovers)
}

// TestRemovedPartIsFoundLost deletes a part that a kept revision names.
func TestRemovedPartIsFoundLost(t *testing.T) {
	remove := func(ctx context.Context, s *Scene) error {
		store := s.Site.history()
		head, err := store.head(ctx)
		if err != nil {
			return err
		}
		copies, err := store.copies(ctx)
		if err != nil {
			return err
		}
		for _, copied := range copies {
			if copied.Revision > head.Revision-keptRevisions/2 && copied.Templates != head.Templates {
				key := config.PartKey(copied.Templates)
				part, err := store.store.Get(ctx, key)
				return errors.Join(err, store.store.Delete(ctx, key, part.Version))
			}
		}
		return errors.New("no part to delete")
	}
	f := Fault{Name: "sabotage", Touch: touchStore, inject: remove, heal: none}
	violates(t, courseCell(f, stepDelete), HistoryKept)
}

// TestEachOfManyIsFoundCut kills an entry that should stop as planned while several
// requests stand at a step: each of its own must be found.
func TestEachOfManyIsFoundCut(t *testing.T) {
	f := Fault{Name: "sabotage", Planned: true, Excludes: always, inject: killEntry, heal: startEntry}
	c := togetherCell(f, stepOf("pay flight"))
	c.Needs.Asks = 1
	cut := 0
	for _, finding := range play(t, c).Findings {
		if finding.Invariant == NotCut {
			cut++
		}
	}
	assert.Equal(t, cut, atOnce/2)
}
