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

// lossy is the partition between zones that these tests claim to run.
var lossy = partition{scope: harness.OtherZones, mode: harness.Lost}

// TestLostSideBehindAPartitionIsFoundUnknown kills the sidecar of the claimed stage
// during a partition, which by itself takes down no process.
func TestLostSideBehindAPartitionIsFoundUnknown(t *testing.T) {
	f := partitionFault("sabotage", siteOptions{Zones: true}, lossy)
	f.inject, f.heal = both(f.inject, killSide), both(f.heal, startSide)
	expectViolation(t, requestCell(f, stepOf("pay flight")), TrueUnknown)
}

// TestHarmBeyondAPartitionIsFound kills the first stage's sidecar in the other zone,
// which the partition must not affect.
func TestHarmBeyondAPartitionIsFound(t *testing.T) {
	f := partitionFault("sabotage", siteOptions{Zones: true}, lossy)
	f.inject = both(f.inject, func(_ context.Context, s *CellRun) error {
		other := s.Site.Fleet.Service(services[stageEncode])[1]
		other.Side.Kill()
		s.Site.taps[other.Name].Refuse()
		return nil
	})
	expectViolation(t, requestCell(f, stepOf("encode flight")), Harmless)
}

// TestChangeMissedByARegionIsFoundReverted cuts a region off from everything although
// the fault claims to cut it off from the object API only.
func TestChangeMissedByARegionIsFoundReverted(t *testing.T) {
	p := partition{scope: harness.ObjectAPI, mode: harness.Refused}
	f := partitionFault("sabotage", siteOptions{Zones: true, Regions: true}, p)
	f.inject = func(_ context.Context, s *CellRun) error {
		s.Site.Fleet.PartitionZone(s.zone(), harness.Everything, harness.Refused)
		return nil
	}
	expectViolation(t, scenarioCell(f, stepAccept), NotReverted)
}

// TestIdleReplacementIsFoundNotRecovered makes dials of the new sidecar fail.
func TestIdleReplacementIsFoundNotRecovered(t *testing.T) {
	refuse := func(_ context.Context, s *CellRun) error {
		s.tap().Refuse()
		return nil
	}
	soon := func(ctx context.Context, s *CellRun) error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return awaitReplacementWork(ctx, s)
	}
	f := Fault{Name: "sabotage", Affects: componentSide, Excludes: excludeNone, inject: both(replaceSide, refuse), heal: soon}
	expectViolation(t, requestCell(f, stepOf("encode flight")), Recovers)
}

// TestRemovedPartIsFoundLost deletes a part that a kept revision uses.
func TestRemovedPartIsFoundLost(t *testing.T) {
	remove := func(ctx context.Context, s *CellRun) error {
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
	f := Fault{Name: "sabotage", Affects: componentStore, inject: remove, heal: noop}
	expectViolation(t, scenarioCell(f, stepDelete), HistoryKept)
}

// TestEachCutRequestIsFound kills an entry instead of stopping it as planned while
// several requests are stopped at a step: each request of that entry must be found.
func TestEachCutRequestIsFound(t *testing.T) {
	f := Fault{Name: "sabotage", Planned: true, Excludes: excludeNone, inject: killEntry, heal: startEntry}
	c := concurrentCell(f, stepOf("pay flight"))
	c.Needs.Tries = 1
	cut := 0
	for _, finding := range runCell(t, c).Findings {
		if finding.Invariant == NotCut {
			cut++
		}
	}
	assert.Equal(t, cut, concurrentRequests/2)
}
