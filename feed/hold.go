package feed

import (
	"slices"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// This file is the only one that changes the state of a process. Configuration, host
// list and placement are each replaced by a newer version only, whatever its source,
// so that no source can revert the process to an older version.

// applyConfig makes snapshot the latest configuration if it is newer than the current one.
func (f *Feed) applyConfig(snapshot *config.Snapshot, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest.config != nil && snapshot.Revision() <= f.latest.Revision {
		return
	}
	f.latest.config, f.latest.Revision = snapshot, snapshot.Revision()
	f.history = appendBounded(f.history, snapshot)
	f.meters.configApplied(snapshot.Revision(), time.Now())
	f.log(event.ConfigInForce, observe.Fields{"revision": snapshot.Revision(), "change_id": snapshot.ChangeID(), "source": source})
	f.publish()
}

// applyHosts makes list the latest host list if it is newer than the current one.
func (f *Feed) applyHosts(list fleet.List, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest.hostsKnown && list.Version <= f.latest.hosts.Version {
		return
	}
	list = list.Sorted()
	f.latest.hosts, f.latest.hostsKnown = list, true
	f.hostHistory = appendBounded(f.hostHistory, list)
	f.updateTopology()
	f.log(event.HostsChanged, observe.Fields{"version": list.Version, "hosts": len(list.Hosts), "leaving": countLeaving(list), "source": source})
	f.publish()
}

// appendBounded appends value to history and drops the oldest entry if it is full.
func appendBounded[T any](history []T, value T) []T {
	if len(history) == historyLength {
		history = slices.Clone(history[1:])
	}
	return append(history, value)
}

// countLeaving returns the number of hosts that are marked as leaving.
func countLeaving(list fleet.List) int {
	count := 0
	for _, host := range list.Hosts {
		if host.Leaving {
			count++
		}
	}
	return count
}

// applyPlacement makes plan the latest placement if its version is newer than the current one.
func (f *Feed) applyPlacement(plan placement.Plan, version uint64, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.latest.placementVersion {
		return
	}
	f.latest.plan, f.latest.placementVersion = plan, version
	f.log(event.PlacementChanged, observe.Fields{"version": version, "source": source})
	f.publish()
}

// publish makes the latest state the published one, once the start has finished. The
// caller holds mu.
func (f *Feed) publish() {
	if !f.startDone {
		return
	}
	next := f.latest
	f.state.Store(&next)
	f.changed.send()
}

// finishStart publishes the latest state and lets each later change be published.
// Authority names in the log who confirmed that the state is current enough.
func (f *Feed) finishStart(authority string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startDone = true
	f.log(event.FeedStarted, observe.Fields{"revision": f.latest.Revision, "hosts_version": f.latest.hosts.Version,
		"placement_version": f.latest.placementVersion, "authority": authority})
	f.publish()
}

// latestConfig returns the newest configuration received, or nil.
func (f *Feed) latestConfig() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest.config
}

// configAt returns the configuration of a revision, or nil if it is no longer in the
// history.
func (f *Feed) configAt(revision uint64) *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, snapshot := range f.history {
		if uint64(snapshot.Revision()) == revision {
			return snapshot
		}
	}
	return nil
}

// latestHosts returns the newest host list received, which may not be published yet.
func (f *Feed) latestHosts() fleet.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest.hosts
}

// hostsAt returns the host list of a version, or an empty one if it is no longer in
// the history.
func (f *Feed) hostsAt(version uint64) fleet.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.hostHistory {
		if list.Version == version {
			return list
		}
	}
	return fleet.List{}
}

// log writes an event if the feed has a logger.
func (f *Feed) log(e event.Event, fields observe.Fields) {
	if f.opts.Logger != nil {
		f.opts.Logger.Event(e, fields)
	}
}

// warn writes a warning event if the feed has a logger.
func (f *Feed) warn(e event.Event, fields observe.Fields) {
	if f.opts.Logger != nil {
		f.opts.Logger.Warn(e, fields)
	}
}
