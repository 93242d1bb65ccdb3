package faults

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
)

// partition cuts off the availability zone of the request's entry.
type partition struct {
	scope harness.Scope
	mode  harness.Partition
	// across sends the first request through the entry of a zone without upstreams, so
	// that all its work crosses the partition.
	across bool
	// holdMessage keeps holding the step's message until the caller has retried on the
	// other side of the partition, which ends then.
	holdMessage bool
}

// entry returns the index of the entry that the first request is sent to.
func (f Fault) entry() int {
	if f.Partition.across {
		return 1
	}
	return 0
}

// present reports whether the fault is a partition.
func (p partition) present() bool { return p.scope != 0 }

// isolated reports whether the zone can get no state of the fleet, from the other zones
// or from the object API.
func (p partition) isolated() bool {
	const both = harness.OtherZones | harness.ObjectAPI
	return p.scope&both == both
}

// blocksZone reports whether the partitioned zone can't serve requests at a step:
// without the object API it can't claim, and with its upstream drained it has none left.
func (p partition) blocksZone(step Step) bool {
	drained := p.scope&harness.OtherZones != 0 && step.Kind == kindDrain
	return p.across || drained || p.scope&harness.ObjectAPI != 0
}

// noticeTime returns when the hosts of a zone can have received a notice: an isolated
// zone receives it when the partition ends.
func (p partition) noticeTime(notice, healed time.Time) time.Time {
	if p.isolated() {
		return healed
	}
	return notice
}

// zone returns the zone of the cell's entry.
func (s *CellRun) zone() string {
	return s.Site.Fleet.Options.Deployment.EntryList()[s.entryIndex()].Zone
}

// partitionFaults returns the partitions between zones and between regions, and of a
// region from the object API.
func partitionFaults() []Fault {
	zones := siteOptions{Zones: true}
	regions := siteOptions{Zones: true, Regions: true}
	oneZone := siteOptions{Zones: true, OneZone: true}
	return []Fault{
		partitionFault("zones cut from each other", zones, partition{scope: harness.OtherZones, mode: harness.Refused}),
		partitionFault("zones lose all packets between them", zones, partition{scope: harness.OtherZones, mode: harness.Lost, holdMessage: true}),
		partitionFault("zone hears no other", zones, partition{scope: harness.OtherZones, mode: harness.InboundLost}),
		partitionFault("zone not heard by others", zones, partition{scope: harness.OtherZones, mode: harness.OutboundLost}),
		partitionFault("zone cut from all upstreams", oneZone, partition{scope: harness.OtherZones, mode: harness.Refused, across: true}),
		partitionFault("zones slow to each other", zones, partition{scope: harness.OtherZones, mode: harness.Slowed}),
		partitionFault("region cut off", regions, partition{scope: harness.Everything, mode: harness.Lost}),
		partitionFault("region hears nothing", regions, partition{scope: harness.Everything, mode: harness.InboundLost, holdMessage: true}),
		partitionFault("region not heard", regions, partition{scope: harness.Everything, mode: harness.OutboundLost}),
		partitionFault("region cut from the object API", regions, partition{scope: harness.ObjectAPI, mode: harness.Lost}),
	}
}

// partitionFault returns the fault of a partition, which lasts until the callers on both
// sides of it have their final responses.
func partitionFault(name string, needs siteOptions, p partition) Fault {
	f := Fault{Name: name, Affects: componentZone, HoldMessage: p.holdMessage, Needs: needs, Partition: p, Excludes: excludeNone,
		inject: p.begin, heal: healZone}
	if p.scope&harness.ObjectAPI != 0 {
		f.Affects |= componentStore
	}
	f.Harmless = p.mode == harness.Slowed
	return f
}

// begin cuts off the zone of the cell's entry.
func (p partition) begin(_ context.Context, s *CellRun) error {
	s.Site.Fleet.PartitionZone(s.zone(), p.scope, p.mode)
	return nil
}

// healZone ends the partition.
func healZone(_ context.Context, s *CellRun) error {
	s.Site.Fleet.HealZone(s.zone())
	return nil
}

// partitionPairs returns partitions together with another fault, or repeated.
func partitionPairs() []Fault {
	lost := partition{scope: harness.OtherZones, mode: harness.Lost}
	cut := partition{scope: harness.OtherZones, mode: harness.Refused}
	zones := siteOptions{Zones: true}
	return []Fault{
		{Name: "zones lose all packets + entry killed", Affects: componentEntry | componentZone, EntryDown: true, Needs: zones,
			Partition: lost, Excludes: excludeNone, inject: both(lost.begin, killEntry), heal: both(healZone, startEntry)},
		{Name: "zones lose all packets + side killed", Affects: componentSide | componentZone, SideDown: true, Needs: zones,
			Partition: lost, Excludes: excludeNone, inject: both(lost.begin, killSide), heal: both(healZone, startSide)},
		{Name: "zones cut and joined, three times", Affects: componentZone, EndsItself: true, Needs: zones,
			Partition: cut, Excludes: excludeNone, inject: repeat(3, both(cut.begin, healZone)), heal: noop},
	}
}

// retryAcrossPartition sends the request with the same key through the entry on the
// other side of the partition while the first attempt is in flight. Entries that have
// all they need must answer new requests meanwhile.
func (s *CellRun) retryAcrossPartition(ctx context.Context, f Fault, request caller.Request) {
	site := s.Site
	var group errgroup.Group
	group.Go(func() error {
		request.BeforeBody = nil
		site.request(ctx, 1-f.entry(), request, configFirst)
		return nil
	})
	for _, entry := range s.servingEntries(f) {
		group.Go(func() error {
			fresh := site.newRequest()
			if result := site.requestUntilSettled(ctx, entry, fresh, configFirst); result.Verdict != caller.Complete {
				return &harmedError{Exchange{Request: fresh, Result: result}}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		s.harmed = append(s.harmed, err.(*harmedError).exchange)
	}
}

// harmedError reports a request that was not answered although the fault must not affect
// it.
type harmedError struct{ exchange Exchange }

// Error implements error.
func (e *harmedError) Error() string { return describeExchange(e.exchange) }

// servingEntries returns the indexes of the entries that can reach upstreams of every
// service and the object API.
func (s *CellRun) servingEntries(f Fault) []int {
	var entries []int
	for i := range s.Site.Fleet.Entries {
		if i != f.entry() || !f.SideDown && !f.Partition.blocksZone(s.Step) {
			entries = append(entries, i)
		}
	}
	return entries
}

// rewriteAddresses makes the proxy of each entry to the object API replace the addresses
// of hosts, as in claims, by those at which the entry's zone reaches them.
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

// checkPropagation checks that an accepted change reaches, during the partition, every
// entry that can still receive it from the object API or from another entry.
func (s *CellRun) checkPropagation(ctx context.Context, f Fault, t *traffic, want int, accepted time.Time) error {
	if !f.Partition.present() || s.operation.outcome != outcomeAccepted {
		return nil
	}
	if err := t.awaitRevision(ctx, s.unaffectedEntries(f), want, accepted); err != nil {
		return err
	}
	if f.Partition.isolated() {
		return nil
	}
	limited, cancel := context.WithDeadline(ctx, accepted.Add(inForceLimit))
	defer cancel()
	if err := s.Site.Fleet.AwaitRevision(limited, s.operation.revision); err != nil {
		return fmt.Errorf("%w: during the partition: %w", errNotInForce, err)
	}
	return nil
}
