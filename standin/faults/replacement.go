package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
)

// replacementFaults put two side processes before one upstream at the same time.
func replacementFaults() []Fault {
	return []Fault{
		{Name: "side frozen, replaced, woken", Touch: touchSide, Excludes: always,
			inject: both(freeze(sideProcess), replaceSide), heal: both(wake(replacedProcess), usesReplacement)},
		{Name: "side replaced before it stops", Touch: touchSide, Planned: true, Excludes: always, Linger: replacedProcess,
			inject: both(replaceSide, stop(replacedProcess)), heal: both(usesReplacement, stoppedReplaced)},
	}
}

// oldPlanFaults wake a side with an old plan beside the one that replaced it, in a
// region that is cut off, so that nobody tells it of the newer plan.
func oldPlanFaults() []Fault {
	return []Fault{{
		Name: "side frozen, replaced, woken in a region cut off", At: []Kind{kindPlan}, Touch: touchSide,
		Needs:  siteOptions{Zones: true, Regions: true},
		inject: both(chooseEngine, both(freeze(sideProcess), both(replaceSide, restartZoneEntry))), heal: wakeWithOldPlan,
	}}
}

// chooseEngine makes an engine the scene's upstream.
func chooseEngine(_ context.Context, s *Scene) error {
	s.Upstream = s.Site.Fleet.Service(services[stageConfirm])[0]
	return nil
}

// restartZoneEntry starts the entry in the upstream's zone anew, so that what it has
// sent to the frozen side is lost.
func restartZoneEntry(ctx context.Context, s *Scene) error {
	fleet := s.Site.Fleet
	for i, e := range fleet.Options.Deployment.EntryList() {
		if e.Zone != s.Upstream.Zone {
			continue
		}
		if err := fleet.Entries[i].Restart(ctx); err != nil {
			return err
		}
	}
	return nil
}

// oldPlanTime is how long the woken side has to give an order of its old plan: it
// compares its engine with the plan twice a second.
const oldPlanTime = 2 * time.Second

// wakeWithOldPlan waits until the new side has given its order, cuts the region
// off and wakes the side that was replaced. Then the region comes back.
func wakeWithOldPlan(ctx context.Context, s *Scene) error {
	limited, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	_, err := s.Site.awaitRecord(limited, "the new side gives no order", func(r ledger.Record) bool {
		return ordered(r) && r.Upstream == s.Upstream.Name
	})
	if err != nil {
		return err
	}
	fleet := s.Site.Fleet
	fleet.PartitionZone(s.Upstream.Zone, harness.Everything, harness.Lost)
	defer fleet.HealZone(s.Upstream.Zone)
	if err := s.replaced.Wake(); err != nil {
		return err
	}
	pause(ctx, oldPlanTime)
	return nil
}

// replacedProcess chooses the side that was replaced.
func replacedProcess(s *Scene) *harness.Process { return s.replaced }

// replaceSide starts a second side before the upstream, which the host list names
// from then on. The first one stays.
func replaceSide(ctx context.Context, s *Scene) error {
	var err error
	s.replaced, err = s.Site.Fleet.ReplaceSide(ctx, s.Upstream)
	return err
}

// replacementLimit bounds the wait until the new side has work.
const replacementLimit = 5 * time.Second

// usesReplacement sends new requests until the new side has been given work, unless
// its upstream is drained. The others of its service leave meanwhile: an engine
// that knows the prompt may be preferred for ever.
func usesReplacement(ctx context.Context, s *Scene) error {
	if s.Step.Kind == kindDrain {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, replacementLimit)
	defer cancel()
	if err := s.othersLeave(ctx, true); err != nil {
		return err
	}
	for s.tap().Runs() == 0 {
		if limited.Err() != nil {
			return fmt.Errorf("%w: no work for the side that replaced another", errNotRecovered)
		}
		for entry := range s.Site.Fleet.Entries {
			s.Site.record(s.Site.exchange(ctx, entry))
		}
		pause(ctx, shortestWait)
	}
	return s.othersLeave(ctx, false)
}

// othersLeave marks the other upstreams of the scene's service as leaving, or no
// longer so.
func (s *Scene) othersLeave(ctx context.Context, leaving bool) error {
	for _, u := range s.Site.Fleet.Service(s.Upstream.Group.Service) {
		if u == s.Upstream {
			continue
		}
		if err := s.Site.Fleet.SetLeaving(ctx, u.Name, leaving); err != nil {
			return err
		}
	}
	return nil
}

// stoppedReplaced waits for the end of the side that was replaced.
func stoppedReplaced(ctx context.Context, s *Scene) error {
	if err := awaitStop(ctx, s.replaced); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	return nil
}
