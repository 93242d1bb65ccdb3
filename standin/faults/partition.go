package faults

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
)

// partition cuts the availability zone of the request's entry off.
type partition struct {
	scope harness.Scope
	how   harness.Partition
	// across sends the first request through the entry of a zone without upstreams,
	// so that all its work is beyond the partition.
	across bool
	// heldOn keeps the step's message on its way until the caller has asked beyond
	// the partition, which ends then.
	heldOn bool
}

// entry returns the number of the entry that the first request is sent to.
func (f Fault) entry() int {
	if f.Partition.across {
		return 1
	}
	return 0
}

// present tells whether the fault is a partition.
func (p partition) present() bool { return p.scope != 0 }

// alone tells whether nothing of the fleet's state can reach the zone.
func (p partition) alone() bool {
	const both = harness.OtherZones | harness.ObjectAPI
	return p.scope&both == both
}

// starves tells whether the partitioned zone can't answer at a step: without the
// object API it can't claim, and one that is drained has no upstream left.
func (p partition) starves(step Step) bool {
	drained := p.scope&harness.OtherZones != 0 && step.Kind == kindDrain
	return p.across || drained || p.scope&harness.ObjectAPI != 0
}

// heard returns when a zone's hosts can have heard a notice: one that is alone
// hears it when the partition is over.
func (p partition) heard(notice, healed time.Time) time.Time {
	if p.alone() {
		return healed
	}
	return notice
}

// zone returns the zone of the scene's entry.
func (s *Scene) zone() string {
	return s.Site.Fleet.Options.Deployment.EntryList()[s.entryIndex()].Zone
}

// partitionFaults are those of zones and regions that lose each other, and of a
// region that loses the object API.
func partitionFaults() []Fault {
	zones := siteOptions{Zones: true}
	regions := siteOptions{Zones: true, Regions: true}
	oneZone := siteOptions{Zones: true, OneZone: true}
	return []Fault{
		partitionFault("zones cut from each other", zones, partition{scope: harness.OtherZones, how: harness.Refused}),
		partitionFault("zones lose all packets between them", zones, partition{scope: harness.OtherZones, how: harness.Lost, heldOn: true}),
		partitionFault("zone hears no other", zones, partition{scope: harness.OtherZones, how: harness.InboundLost}),
		partitionFault("zone not heard by others", zones, partition{scope: harness.OtherZones, how: harness.OutboundLost}),
		partitionFault("zone cut from all upstreams", oneZone, partition{scope: harness.OtherZones, how: harness.Refused, across: true}),
		partitionFault("zones slow to each other", zones, partition{scope: harness.OtherZones, how: harness.Slowed}),
		partitionFault("region cut off", regions, partition{scope: harness.Everything, how: harness.Lost}),
		partitionFault("region hears nothing", regions, partition{scope: harness.Everything, how: harness.InboundLost, heldOn: true}),
		partitionFault("region not heard", regions, partition{scope: harness.Everything, how: harness.OutboundLost}),
		partitionFault("region cut from the object API", regions, partition{scope: harness.ObjectAPI, how: harness.Lost}),
	}
}

// partitionFault returns the fault of a partition, which lasts until the callers on
// both sides of it have their final answers.
func partitionFault(name string, needs siteOptions, p partition) Fault {
	f := Fault{Name: name, Touch: touchZone, HoldOn: p.heldOn, Needs: needs, Partition: p, Excludes: always,
		inject: p.begin, heal: healZone}
	if p.scope&harness.ObjectAPI != 0 {
		f.Touch |= touchStore
	}
	f.Harmless = p.how == harness.Slowed
	return f
}

// begin partitions the zone of the scene's entry.
func (p partition) begin(_ context.Context, s *Scene) error {
	s.Site.Fleet.PartitionZone(s.zone(), p.scope, p.how)
	return nil
}

// healZone ends the partition.
func healZone(_ context.Context, s *Scene) error {
	s.Site.Fleet.HealZone(s.zone())
	return nil
}

// partitionPairs are partitions together with another fault, or over and over.
func partitionPairs() []Fault {
	lost := partition{scope: harness.OtherZones, how: harness.Lost}
	cut := partition{scope: harness.OtherZones, how: harness.Refused}
	zones := siteOptions{Zones: true}
	return []Fault{
		{Name: "zones lose all packets + entry killed", Touch: touchEntry | touchZone, EntryGone: true, Needs: zones,
			Partition: lost, Excludes: always, inject: both(lost.begin, killEntry), heal: both(healZone, startEntry)},
		{Name: "zones lose all packets + side killed", Touch: touchSide | touchZone, SideGone: true, Needs: zones,
			Partition: lost, Excludes: always, inject: both(lost.begin, killSide), heal: both(healZone, startSide)},
		{Name: "zones cut and joined, three times", Touch: touchZone, Over: true, Needs: zones,
			Partition: cut, Excludes: always, inject: repeat(3, both(cut.begin, healZone)), heal: none},
	}
}

// askWhileApart asks with the request's key through the entry beyond the
// partition, while the first attempt is alive. The parts that have all they need
// must answer new requests meanwhile.
func (s *Scene) askWhileApart(ctx context.Context, f Fault, request caller.Request) {
	site := s.Site
	var group errgroup.Group
	group.Go(func() error {
		request.BeforeBody = nil
		site.ask(ctx, 1-f.entry(), request, configFirst)
		return nil
	})
	for _, entry := range s.whole(f) {
		group.Go(func() error {
			fresh := site.newRequest()
			if result := site.askUntilSettled(ctx, entry, fresh, configFirst); result.Verdict != caller.Whole {
				return &harmedError{Exchange{Request: fresh, Result: result}}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		s.harmed = append(s.harmed, err.(*harmedError).exchange)
	}
}

// harmedError tells of a request that was not answered though it had to be.
type harmedError struct{ exchange Exchange }

// Error implements error.
func (e *harmedError) Error() string { return describe(e.exchange) }

// whole returns the numbers of the entries whose part has upstreams of every
// service and the object API.
func (s *Scene) whole(f Fault) []int {
	var found []int
	for i := range s.Site.Fleet.Entries {
		if i != f.entry() || !f.SideGone && !f.Partition.starves(s.Step) {
			found = append(found, i)
		}
	}
	return found
}

// rewriteAddresses lets each process's claims name hosts as its zone reaches them.
func (s *Site) rewriteAddresses() {
	if !s.Fleet.Options.Relays.Zones {
		return
	}
	for _, view := range s.Fleet.Views() {
		for i, e := range s.Fleet.Options.Deployment.EntryList() {
			if e.Zone == view.Zone {
				s.storeTaps[s.Fleet.Entries[i].Name].Rewrite(view)
			}
		}
	}
}

// spreads checks that an accepted change reaches every entry that the partition
// leaves a way to while it lasts: from the object API, or from another entry.
func (s *Scene) spreads(ctx context.Context, f Fault, t *traffic, want int, accepted time.Time) error {
	if !f.Partition.present() || s.operation.said != saidAccepted {
		return nil
	}
	if err := t.awaitRevision(ctx, s.others(f), want, accepted); err != nil {
		return err
	}
	if f.Partition.alone() {
		return nil
	}
	limited, cancel := context.WithDeadline(ctx, accepted.Add(inForceLimit))
	defer cancel()
	if err := s.Site.Fleet.AwaitRevision(limited, s.operation.revision); err != nil {
		return fmt.Errorf("%w: during the partition: %w", errNotInForce, err)
	}
	return nil
}
