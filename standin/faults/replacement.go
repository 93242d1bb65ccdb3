package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
)

// replacementFaults returns the faults in which two sidecars serve one upstream at the
// same time.
func replacementFaults() []Fault {
	return []Fault{
		{Name: "side frozen, replaced, woken", Affects: componentSide, Excludes: excludeNone,
			inject: both(freeze(sideProcess), replaceSide), heal: both(resume(replacedProcess), awaitReplacementWork)},
		{Name: "side replaced before it stops", Affects: componentSide, Planned: true, Excludes: excludeNone, Stopping: replacedProcess,
			inject: both(replaceSide, stop(replacedProcess)), heal: both(awaitReplacementWork, awaitReplacedStop)},
	}
}

// stalePlanFaults returns the fault that resumes a sidecar with a stale plan beside its
// replacement, in a region that is cut off, so that it can't receive the newer plan.
func stalePlanFaults() []Fault {
	return []Fault{{
		Name: "side frozen, replaced, woken in a region cut off", ScenarioSteps: []Kind{kindPlan}, Affects: componentSide,
		Needs:  siteOptions{Zones: true, Regions: true},
		inject: both(chooseEngine, both(freeze(sideProcess), both(replaceSide, restartZoneEntry))), heal: resumeWithStalePlan,
	}}
}

// chooseEngine makes an engine the cell's upstream.
func chooseEngine(_ context.Context, s *CellRun) error {
	s.Upstream = s.Site.Fleet.Service(services[stageConfirm])[0]
	return nil
}

// restartZoneEntry restarts the entry in the upstream's zone, so that what it has sent
// to the frozen sidecar is lost.
func restartZoneEntry(ctx context.Context, s *CellRun) error {
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

// stalePlanTime is how long the resumed sidecar has to send an order of its stale plan: it
// compares its engine with the plan twice a second.
const stalePlanTime = 2 * time.Second

// resumeWithStalePlan waits until the new sidecar has sent its order, cuts the region off,
// resumes the sidecar that was replaced and then reconnects the region.
func resumeWithStalePlan(ctx context.Context, s *CellRun) error {
	limited, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	_, err := s.Site.awaitRecord(limited, "the new sidecar sent no order", func(r ledger.Record) bool {
		return ordered(r) && r.Upstream == s.Upstream.Name
	})
	if err != nil {
		return err
	}
	fleet := s.Site.Fleet
	fleet.PartitionZone(s.Upstream.Zone, harness.Everything, harness.Lost)
	defer fleet.HealZone(s.Upstream.Zone)
	if err := s.replaced.Resume(); err != nil {
		return err
	}
	sleep(ctx, stalePlanTime)
	return nil
}

// replacedProcess returns the sidecar that was replaced.
func replacedProcess(s *CellRun) *harness.Process { return s.replaced }

// replaceSide starts a second sidecar for the upstream, which the host list names from
// then on. The first one keeps running.
func replaceSide(ctx context.Context, s *CellRun) error {
	var err error
	s.replaced, err = s.Site.Fleet.ReplaceSide(ctx, s.Upstream)
	return err
}

// replacementLimit bounds the wait until the new sidecar gets work.
const replacementLimit = 5 * time.Second

// awaitReplacementWork sends new requests until the new sidecar has got work, unless its
// upstream is drained. The other upstreams of its service are marked as leaving
// meanwhile, because entries may keep preferring an engine that has the prompt cached.
func awaitReplacementWork(ctx context.Context, s *CellRun) error {
	if s.Step.Kind == kindDrain {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, replacementLimit)
	defer cancel()
	if err := s.setOthersLeaving(ctx, true); err != nil {
		return err
	}
	for s.tap().Runs() == 0 {
		if limited.Err() != nil {
			return fmt.Errorf("%w: the replacing sidecar got no work", errNotRecovered)
		}
		for entry := range s.Site.Fleet.Entries {
			s.Site.record(s.Site.exchange(ctx, entry))
		}
		sleep(ctx, minRetryWait)
	}
	return s.setOthersLeaving(ctx, false)
}

// setOthersLeaving marks the other upstreams of the service as leaving, or removes that
// mark.
func (s *CellRun) setOthersLeaving(ctx context.Context, leaving bool) error {
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

// awaitReplacedStop waits until the sidecar that was replaced has stopped.
func awaitReplacedStop(ctx context.Context, s *CellRun) error {
	if err := awaitStop(ctx, s.replaced); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	return nil
}
