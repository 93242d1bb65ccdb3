package faults

import (
	"context"
	"time"

	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// Why a fault can't happen at a step.
const (
	noAnswer          = "no answer of a stage is on its way at this step"
	noMessage         = "no dispatch of a stage is on its way at this step"
	noWork            = "no upstream works or is about to for the request at this step"
	noAcknowledgement = "no acknowledgement is on its way at this step"
	noSide            = "no side holds or gets anything of the request at this step"
)

// onlyAnswers excludes the steps at which no answer is on its way.
func onlyAnswers(s Step) string {
	if s.Kind == kindAnswer {
		return ""
	}
	return noAnswer
}

// onlyDispatch excludes the steps at which no dispatch is on its way.
func onlyDispatch(s Step) string {
	if s.Kind == kindDispatch {
		return ""
	}
	return noMessage
}

// notAcknowledged excludes the step at which the work is over.
func notAcknowledged(s Step) string {
	if s.Kind == kindAcknowledge {
		return noWork
	}
	return ""
}

// onlyAcknowledge excludes the steps at which no acknowledgement is on its way.
func onlyAcknowledge(s Step) string {
	if s.Kind == kindAcknowledge {
		return ""
	}
	return noAcknowledgement
}

// notAdmission excludes the step before any side is chosen.
func notAdmission(s Step) string {
	if s.Kind == kindAdmission {
		return noSide
	}
	return ""
}

// slowStoreMS is what a slow object API adds to each call, in milliseconds.
const slowStoreMS = 400

// everyAnswer is more answers than any cell's writes have.
const everyAnswer = 1 << 20

// staleLag is how late the host list is when it is stale: longer than a cell.
const staleLag = time.Minute

// singleFaults returns the faults that come alone.
func singleFaults() []Fault {
	faults := processFaults()
	faults = append(faults, linkFaults()...)
	faults = append(faults, replacementFaults()...)
	faults = append(faults, answerFaults()...)
	faults = append(faults, platformFaults()...)
	faults = append(faults, zoneLossFaults()...)
	return append(faults, partitionFaults()...)
}

// processFaults are kills, freezes and planned stops.
func processFaults() []Fault {
	return []Fault{
		{Name: "entry killed", Touch: touchEntry, EntryGone: true, Excludes: always, inject: killEntry, heal: startEntry},
		{Name: "entry killed, its messages late", Touch: touchEntry, EntryGone: true, HoldOn: true, InRequest: true, Excludes: always,
			inject: killEntry, heal: startEntry},
		{Name: "entry frozen and woken", Touch: touchEntry, EntryGone: true, HoldOn: true, Excludes: always,
			inject: freeze(entryProcess), heal: wake(entryProcess)},
		{Name: "side killed", Touch: touchSide, Excludes: always, inject: killSide, heal: startSide},
		{Name: "side frozen and woken", Touch: touchSide, Excludes: always, inject: freeze(sideProcess), heal: wake(sideProcess)},
		{Name: "upstream killed", Touch: touchUpstream, Excludes: notAcknowledged, inject: killWorker, heal: startWorker},
		{Name: "upstream frozen and woken", Touch: touchUpstream, Excludes: notAcknowledged,
			inject: freeze(workerProcess), heal: wake(workerProcess)},
		{Name: "entry stopped as planned", Touch: touchEntry, Planned: true, Excludes: always, Linger: entryProcess,
			inject: stop(entryProcess), heal: stoppedEntry},
		{Name: "side stopped as planned", Touch: touchSide, Planned: true, Excludes: always, Linger: sideProcess,
			inject: stop(sideProcess), heal: stoppedSide},
		{Name: "upstream leaves as planned", Touch: touchUpstream, Planned: true, Excludes: always, inject: leave, heal: left},
	}
}

// linkFaults cut connections.
func linkFaults() []Fault {
	relays := siteOptions{UpstreamRelays: true}
	return []Fault{
		{Name: "connection to side broken once", Harmless: true, Touch: touchLink, Excludes: notAdmission,
			inject: onTap((*tap.Tap).Break), heal: none},
		{Name: "connection to side cut", Touch: touchLink, Excludes: notAdmission,
			inject: onTap((*tap.Tap).Cut), heal: onTap((*tap.Tap).Heal)},
		{Name: "one-way cut from side", Touch: touchLink, Excludes: notAdmission,
			inject: onTap(func(t *tap.Tap) { t.Silence(tap.FromSide) }), heal: onTap((*tap.Tap).Heal)},
		{Name: "one-way cut to side", Touch: touchLink, Excludes: notAdmission,
			inject: onTap(func(t *tap.Tap) { t.Silence(tap.ToSide) }), heal: onTap((*tap.Tap).Heal)},
		{Name: "connection to upstream broken once", Touch: touchUpstream, Needs: relays, Excludes: notAcknowledged,
			inject: onRelay((*harness.Relay).Break), heal: none},
		{Name: "one-way cut from upstream", Touch: touchUpstream, Needs: relays, Excludes: notAcknowledged,
			inject: onRelay(func(r *harness.Relay) { r.Silence(harness.FromTarget) }), heal: onRelay((*harness.Relay).Heal)},
	}
}

// onTap returns an injection at the tap before the side.
func onTap(do func(*tap.Tap)) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		do(s.tap())
		return nil
	}
}

// onRelay returns an injection at the relay between the side and its upstream.
func onRelay(do func(*harness.Relay)) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		do(s.Upstream.Link)
		return nil
	}
}

// answerFaults come from a side that misbehaves, which the tap plays.
func answerFaults() []Fault {
	return []Fault{
		{Name: "answer late", Touch: touchLink, InRequest: true, HoldOn: true, Excludes: onlyAnswers, inject: none, heal: none},
		{Name: "answers out of order", Harmless: true, Touch: touchLink, Excludes: onlyAnswers,
			prepare: tamper(tap.Swapped), inject: none, heal: untamper},
		{Name: "answers twice", Harmless: true, Excludes: onlyAnswers, prepare: tamper(tap.Duplicated), inject: none, heal: untamper},
		{Name: "another request's answers", Harmless: true, Excludes: onlyAnswers, prepare: tamper(tap.Foreign), inject: none, heal: untamper},
		{Name: "dispatch late", Touch: touchLink, InRequest: true, HoldOn: true, Excludes: onlyDispatch, inject: none, heal: none},
		{Name: "dispatch three times", Harmless: true, Excludes: onlyDispatch, prepare: replay, inject: none, heal: untamper},
	}
}

// platformFaults are those of the object API, the host list and the operators.
func platformFaults() []Fault {
	up := setObjects(objectstore.Control{})
	return []Fault{
		{Name: "store down", Touch: touchStore, Excludes: always, inject: setObjects(objectstore.Control{Down: true}), heal: up},
		{Name: "store slow", Harmless: true, Touch: touchStore, Excludes: always, inject: setObjects(objectstore.Control{DelayMS: slowStoreMS}), heal: up},
		{Name: "store answer lost after effect", Harmless: true, Touch: touchStore, Excludes: always,
			inject: setObjects(objectstore.Control{LoseAnswers: 1}), heal: up},
		{Name: "store loses the answer of every write", Harmless: true, Touch: touchStore, Excludes: always,
			inject: setObjects(objectstore.Control{LoseAnswers: everyAnswer}), heal: up},
		{Name: "host list stale, host gone", Touch: touchSide | touchUpstream, Excludes: always,
			Needs: siteOptions{HostLag: staleLag}, inject: hostGone, heal: hostBack},
		{Name: "configuration changed midway", Planned: true, Excludes: always, inject: changeConfiguration, heal: none},
	}
}

// hostGone kills the side and its upstream. The list goes on naming the host.
func hostGone(ctx context.Context, s *Scene) error {
	if err := both(killWorker, killSide)(ctx, s); err != nil {
		return err
	}
	return s.Site.Fleet.RemoveHost(ctx, s.Upstream.Name)
}

// hostBack starts the host again and puts it back into the list.
func hostBack(ctx context.Context, s *Scene) error {
	if err := both(startWorker, startSide)(ctx, s); err != nil {
		return err
	}
	return s.Site.Fleet.SetHosts(ctx, s.Site.Fleet.HostList())
}

// changeConfiguration applies the second configuration and waits until it is in
// force at every entry.
func changeConfiguration(ctx context.Context, s *Scene) error {
	return s.Site.Fleet.Apply(ctx, s.Site.files[1])
}

// combinedFaults returns pairs and repeats.
func combinedFaults() []Fault {
	down := setObjects(objectstore.Control{Down: true})
	up := setObjects(objectstore.Control{})
	lost := setObjects(objectstore.Control{LoseAnswers: 2})
	pairs := []Fault{
		{Name: "entry killed + side killed", Touch: touchEntry | touchSide, EntryGone: true, Excludes: always,
			inject: both(killEntry, killSide), heal: both(startEntry, startSide)},
		{Name: "entry frozen + side killed", Touch: touchEntry | touchSide, EntryGone: true, HoldOn: true, Excludes: always,
			inject: both(freeze(entryProcess), killSide), heal: both(startSide, wake(entryProcess))},
		{Name: "entry killed + store answers lost twice", Touch: touchEntry | touchStore, EntryGone: true, Excludes: always,
			inject: both(lost, killEntry), heal: both(up, startEntry)},
		{Name: "entry killed + store down", Touch: touchEntry | touchStore, EntryGone: true, Excludes: always,
			inject: both(down, killEntry), heal: both(up, startEntry)},
		{Name: "side killed + store down", Touch: touchSide | touchStore, Excludes: always,
			inject: both(down, killSide), heal: both(up, startSide)},
		{Name: "connection to side cut + store down", Touch: touchLink | touchStore, Excludes: notAdmission,
			inject: both(down, onTap((*tap.Tap).Cut)), heal: both(up, onTap((*tap.Tap).Heal))},
		{Name: "acknowledgement lost + side stopped as planned", Touch: touchSide, InRequest: true, Excludes: onlyAcknowledge,
			inject: both(onTap((*tap.Tap).Cut), stop(sideProcess)), heal: both(stoppedSide, onTap((*tap.Tap).Heal))},
		{Name: "upstream killed + store answer lost", Touch: touchUpstream | touchStore, Excludes: notAcknowledged,
			inject: both(lost, killWorker), heal: both(up, startWorker)},
		{Name: "side killed and started, three times", Touch: touchSide, Over: true, Excludes: always,
			inject: repeat(3, both(killSide, startSide)), heal: none},
		{Name: "entry killed and started, three times", Touch: touchEntry, Over: true, EntryGone: true, Excludes: always,
			inject: repeat(3, both(killEntry, startEntry)), heal: none},
	}
	return append(pairs, partitionPairs()...)
}

// repeat does an injection several times over.
func repeat(times int, do func(context.Context, *Scene) error) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		for range times {
			if err := do(ctx, s); err != nil {
				return err
			}
		}
		return nil
	}
}
