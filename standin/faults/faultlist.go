package faults

import (
	"context"
	"time"

	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// Reasons why a fault can't happen at a step.
const (
	noResponse        = "no answer of a stage is on its way at this step"
	noDispatch        = "no dispatch of a stage is on its way at this step"
	noWork            = "no upstream works or is about to for the request at this step"
	noAcknowledgement = "no acknowledgement is on its way at this step"
	noSide            = "no side holds or gets anything of the request at this step"
)

// excludeAllButResponse excludes the steps at which no response of a stage is in transit.
func excludeAllButResponse(s Step) string {
	if s.Kind == kindResponse {
		return ""
	}
	return noResponse
}

// excludeAllButDispatch excludes the steps at which no dispatch is in transit.
func excludeAllButDispatch(s Step) string {
	if s.Kind == kindDispatch {
		return ""
	}
	return noDispatch
}

// excludeAcknowledge excludes the step at which the claimed stage's work has ended.
func excludeAcknowledge(s Step) string {
	if s.Kind == kindAcknowledge {
		return noWork
	}
	return ""
}

// excludeAllButAcknowledge excludes the steps at which no acknowledgement is in transit.
func excludeAllButAcknowledge(s Step) string {
	if s.Kind == kindAcknowledge {
		return ""
	}
	return noAcknowledgement
}

// excludeAdmission excludes the step at which no sidecar has been chosen yet.
func excludeAdmission(s Step) string {
	if s.Kind == kindAdmission {
		return noSide
	}
	return ""
}

// slowStoreMS is the delay that a slow object API adds to each call, in milliseconds.
const slowStoreMS = 400

// everyWrite exceeds the number of writes in any cell.
const everyWrite = 1 << 20

// staleLag is the delay of a stale host list: longer than a cell takes.
const staleLag = time.Minute

// singleFaults returns the faults that happen alone.
func singleFaults() []Fault {
	faults := processFaults()
	faults = append(faults, linkFaults()...)
	faults = append(faults, replacementFaults()...)
	faults = append(faults, messageFaults()...)
	faults = append(faults, platformFaults()...)
	faults = append(faults, zoneLossFaults()...)
	return append(faults, partitionFaults()...)
}

// processFaults returns kills, freezes and planned stops.
func processFaults() []Fault {
	return []Fault{
		{Name: "entry killed", Affects: componentEntry, EntryDown: true, Excludes: excludeNone, inject: killEntry, heal: startEntry},
		{Name: "entry killed, its messages late", Affects: componentEntry, EntryDown: true, HoldMessage: true, InRequest: true, Excludes: excludeNone,
			inject: killEntry, heal: startEntry},
		{Name: "entry frozen and woken", Affects: componentEntry, EntryDown: true, HoldMessage: true, Excludes: excludeNone,
			inject: freeze(entryProcess), heal: resume(entryProcess)},
		{Name: "side killed", Affects: componentSide, Excludes: excludeNone, inject: killSide, heal: startSide},
		{Name: "side frozen and woken", Affects: componentSide, Excludes: excludeNone, inject: freeze(sideProcess), heal: resume(sideProcess)},
		{Name: "upstream killed", Affects: componentUpstream, Excludes: excludeAcknowledge, inject: killWorker, heal: startWorker},
		{Name: "upstream frozen and woken", Affects: componentUpstream, Excludes: excludeAcknowledge,
			inject: freeze(workerProcess), heal: resume(workerProcess)},
		{Name: "entry stopped as planned", Affects: componentEntry, Planned: true, Excludes: excludeNone, Stopping: entryProcess,
			inject: stop(entryProcess), heal: awaitEntryStop},
		{Name: "side stopped as planned", Affects: componentSide, Planned: true, Excludes: excludeNone, Stopping: sideProcess,
			inject: stop(sideProcess), heal: awaitSideStop},
		{Name: "upstream leaves as planned", Affects: componentUpstream, Planned: true, Excludes: excludeNone, inject: leave, heal: stopAndReturn},
	}
}

// linkFaults returns the faults of connections.
func linkFaults() []Fault {
	relays := siteOptions{UpstreamRelays: true}
	return []Fault{
		{Name: "connection to side broken once", Harmless: true, Affects: componentLink, Excludes: excludeAdmission,
			inject: onTap((*tap.Tap).Break), heal: noop},
		{Name: "connection to side cut", Affects: componentLink, Excludes: excludeAdmission,
			inject: onTap((*tap.Tap).Cut), heal: onTap((*tap.Tap).Heal)},
		{Name: "one-way cut from side", Affects: componentLink, Excludes: excludeAdmission,
			inject: onTap(func(t *tap.Tap) { t.Silence(tap.FromSide) }), heal: onTap((*tap.Tap).Heal)},
		{Name: "one-way cut to side", Affects: componentLink, Excludes: excludeAdmission,
			inject: onTap(func(t *tap.Tap) { t.Silence(tap.ToSide) }), heal: onTap((*tap.Tap).Heal)},
		{Name: "connection to upstream broken once", Affects: componentUpstream, Needs: relays, Excludes: excludeAcknowledge,
			inject: onRelay((*harness.Relay).Break), heal: noop},
		{Name: "one-way cut from upstream", Affects: componentUpstream, Needs: relays, Excludes: excludeAcknowledge,
			inject: onRelay(func(r *harness.Relay) { r.Silence(harness.FromTarget) }), heal: onRelay((*harness.Relay).Heal)},
	}
}

// onTap returns an injection at the proxy to the sidecar.
func onTap(do func(*tap.Tap)) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error {
		do(s.tap())
		return nil
	}
}

// onRelay returns an injection at the relay between the sidecar and its upstream.
func onRelay(do func(*harness.Relay)) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error {
		do(s.Upstream.Link)
		return nil
	}
}

// messageFaults returns late, reordered, duplicated and foreign messages between an
// entry and a sidecar, which the proxy produces.
func messageFaults() []Fault {
	return []Fault{
		{Name: "answer late", Affects: componentLink, InRequest: true, HoldMessage: true, Excludes: excludeAllButResponse, inject: noop, heal: noop},
		{Name: "answers out of order", Harmless: true, Affects: componentLink, Excludes: excludeAllButResponse,
			prepare: tamper(tap.Swapped), inject: noop, heal: untamper},
		{Name: "answers twice", Harmless: true, Excludes: excludeAllButResponse, prepare: tamper(tap.Duplicated), inject: noop, heal: untamper},
		{Name: "another request's answers", Harmless: true, Excludes: excludeAllButResponse, prepare: tamper(tap.Foreign), inject: noop, heal: untamper},
		{Name: "dispatch late", Affects: componentLink, InRequest: true, HoldMessage: true, Excludes: excludeAllButDispatch, inject: noop, heal: noop},
		{Name: "dispatch three times", Harmless: true, Excludes: excludeAllButDispatch, prepare: replay, inject: noop, heal: untamper},
	}
}

// platformFaults returns the faults of the object API and the host list, and the change
// of the configuration.
func platformFaults() []Fault {
	up := setObjects(objectstore.Control{})
	return []Fault{
		{Name: "store down", Affects: componentStore, Excludes: excludeNone, inject: setObjects(objectstore.Control{Down: true}), heal: up},
		{Name: "store slow", Harmless: true, Affects: componentStore, Excludes: excludeNone, inject: setObjects(objectstore.Control{DelayMS: slowStoreMS}), heal: up},
		{Name: "store answer lost after effect", Harmless: true, Affects: componentStore, Excludes: excludeNone,
			inject: setObjects(objectstore.Control{LoseResponses: 1}), heal: up},
		{Name: "store loses the answer of every write", Harmless: true, Affects: componentStore, Excludes: excludeNone,
			inject: setObjects(objectstore.Control{LoseResponses: everyWrite}), heal: up},
		{Name: "host list stale, host gone", Affects: componentSide | componentUpstream, Excludes: excludeNone,
			Needs: siteOptions{HostLag: staleLag}, inject: killHost, heal: restoreHost},
		{Name: "configuration changed midway", Planned: true, Excludes: excludeNone, inject: changeConfiguration, heal: noop},
	}
}

// killHost kills the sidecar and its upstream. The stale host list still names the host.
func killHost(ctx context.Context, s *CellRun) error {
	if err := both(killWorker, killSide)(ctx, s); err != nil {
		return err
	}
	return s.Site.Fleet.RemoveHost(ctx, s.Upstream.Name)
}

// restoreHost starts the host again and returns it to the host list.
func restoreHost(ctx context.Context, s *CellRun) error {
	if err := both(startWorker, startSide)(ctx, s); err != nil {
		return err
	}
	return s.Site.Fleet.SetHosts(ctx, s.Site.Fleet.HostList())
}

// changeConfiguration applies the second configuration and waits until it is in force at
// every entry.
func changeConfiguration(ctx context.Context, s *CellRun) error {
	return s.Site.Fleet.Apply(ctx, s.Site.files[1])
}

// combinedFaults returns faults that happen in pairs or repeatedly.
func combinedFaults() []Fault {
	down := setObjects(objectstore.Control{Down: true})
	up := setObjects(objectstore.Control{})
	lost := setObjects(objectstore.Control{LoseResponses: 2})
	pairs := []Fault{
		{Name: "entry killed + side killed", Affects: componentEntry | componentSide, EntryDown: true, Excludes: excludeNone,
			inject: both(killEntry, killSide), heal: both(startEntry, startSide)},
		{Name: "entry frozen + side killed", Affects: componentEntry | componentSide, EntryDown: true, HoldMessage: true, Excludes: excludeNone,
			inject: both(freeze(entryProcess), killSide), heal: both(startSide, resume(entryProcess))},
		{Name: "entry killed + store answers lost twice", Affects: componentEntry | componentStore, EntryDown: true, Excludes: excludeNone,
			inject: both(lost, killEntry), heal: both(up, startEntry)},
		{Name: "entry killed + store down", Affects: componentEntry | componentStore, EntryDown: true, Excludes: excludeNone,
			inject: both(down, killEntry), heal: both(up, startEntry)},
		{Name: "side killed + store down", Affects: componentSide | componentStore, Excludes: excludeNone,
			inject: both(down, killSide), heal: both(up, startSide)},
		{Name: "connection to side cut + store down", Affects: componentLink | componentStore, Excludes: excludeAdmission,
			inject: both(down, onTap((*tap.Tap).Cut)), heal: both(up, onTap((*tap.Tap).Heal))},
		{Name: "acknowledgement lost + side stopped as planned", Affects: componentSide, InRequest: true, Excludes: excludeAllButAcknowledge,
			inject: both(onTap((*tap.Tap).Cut), stop(sideProcess)), heal: both(awaitSideStop, onTap((*tap.Tap).Heal))},
		{Name: "upstream killed + store answer lost", Affects: componentUpstream | componentStore, Excludes: excludeAcknowledge,
			inject: both(lost, killWorker), heal: both(up, startWorker)},
		{Name: "side killed and started, three times", Affects: componentSide, EndsItself: true, Excludes: excludeNone,
			inject: repeat(3, both(killSide, startSide)), heal: noop},
		{Name: "entry killed and started, three times", Affects: componentEntry, EndsItself: true, EntryDown: true, Excludes: excludeNone,
			inject: repeat(3, both(killEntry, startEntry)), heal: noop},
	}
	return append(pairs, partitionPairs()...)
}

// repeat returns an injection that runs do several times.
func repeat(times int, do func(context.Context, *CellRun) error) func(context.Context, *CellRun) error {
	return func(ctx context.Context, s *CellRun) error {
		for range times {
			if err := do(ctx, s); err != nil {
				return err
			}
		}
		return nil
	}
}
