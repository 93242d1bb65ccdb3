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

// This file is the only one that changes what a process holds. Configuration,
// host list and placement each take a newer version only, whoever brings it, so
// that no source can set the process back.

// takeConfig makes a configuration the one in force if it is newer.
func (f *Feed) takeConfig(snapshot *config.Snapshot, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held.config != nil && snapshot.Revision() <= f.held.Revision {
		return
	}
	f.held.config, f.held.Revision = snapshot, snapshot.Revision()
	f.history = remember(f.history, snapshot)
	f.meters.configApplied(snapshot.Revision(), time.Now())
	f.log(event.ConfigInForce, observe.Fields{"revision": snapshot.Revision(), "change_id": snapshot.ChangeID(), "source": source})
	f.publish()
}

// takeHosts makes a host list the one in force if it is newer.
func (f *Feed) takeHosts(list fleet.List, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held.hostsKnown && list.Version <= f.held.hosts.Version {
		return
	}
	list = list.Sorted()
	f.held.hosts, f.held.hostsKnown = list, true
	f.hostHistory = remember(f.hostHistory, list)
	f.place()
	f.log(event.HostsChanged, observe.Fields{"version": list.Version, "hosts": len(list.Hosts), "leaving": leaving(list), "source": source})
	f.publish()
}

// remember appends to a history, from which the oldest is dropped if it is full.
func remember[T any](history []T, value T) []T {
	if len(history) == historyLength {
		history = slices.Clone(history[1:])
	}
	return append(history, value)
}

// leaving counts the hosts that are about to go.
func leaving(list fleet.List) int {
	count := 0
	for _, host := range list.Hosts {
		if host.Leaving {
			count++
		}
	}
	return count
}

// takePlacement makes a placement the one in force if it is newer.
func (f *Feed) takePlacement(plan placement.Plan, version uint64, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.held.placementVersion {
		return
	}
	f.held.plan, f.held.placementVersion = plan, version
	f.log(event.PlacementChanged, observe.Fields{"version": version, "source": source})
	f.publish()
}

// publish lets the process act on what is held, once it has started. The caller
// holds mu.
func (f *Feed) publish() {
	if !f.started {
		return
	}
	next := f.held
	f.state.Store(&next)
	f.changed.send()
}

// begin lets the process act on what it holds from now on.
func (f *Feed) begin(authority string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	f.log(event.FeedStarted, observe.Fields{"revision": f.held.Revision, "hosts_version": f.held.hosts.Version,
		"placement_version": f.held.placementVersion, "authority": authority})
	f.publish()
}

// known returns the configuration held, or nil.
func (f *Feed) known() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.config
}

// earlier returns the configuration that was in force at a revision, or nil if
// it is not kept any more.
func (f *Feed) earlier(revision uint64) *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, snapshot := range f.history {
		if uint64(snapshot.Revision()) == revision {
			return snapshot
		}
	}
	return nil
}

// heldHosts returns the host list held, also before the start.
func (f *Feed) heldHosts() fleet.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.hosts
}

// earlierHosts returns the host list of a version, or an empty one if it is not
// kept any more.
func (f *Feed) earlierHosts(version uint64) fleet.List {
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

// warn writes an event that an operator should look at.
func (f *Feed) warn(e event.Event, fields observe.Fields) {
	if f.opts.Logger != nil {
		f.opts.Logger.Warn(e, fields)
	}
}
