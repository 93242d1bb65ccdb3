package feed

import (
	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/wire/wirepb"
)

// maxSubscribers bounds the subscribers of one entry. It suffices for a fleet that
// has only one relay left for a moment.
const maxSubscribers = 2048

// Subscribe serves the feed of this entry to another process until the stream ends.
// The first heartbeat follows the updates that the subscriber lacked at the beginning.
// An entry that receives no live feed itself then ends the stream with Unavailable.
func (f *Feed) Subscribe(req *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
	if f.State() == nil {
		return fault.New(fault.Unavailable, "feed.subscribe", f.opts.Name, "this entry has no state yet")
	}
	if f.meters.subscribers.Load() >= maxSubscribers {
		return fault.New(fault.Unavailable, "feed.subscribe", f.opts.Name, "this entry has reached its subscriber limit")
	}
	f.meters.subscribed(1)
	defer f.meters.subscribed(-1)
	f.NoteRevision(core.Revision(req.GetRevision()), "")
	s := &session{feed: f, stream: stream, scope: req.GetScope(), revision: core.Revision(req.GetRevision()),
		hostsVersion: req.GetHostsVersion(), placementVersion: req.GetPlacementVersion(), heartbeats: f.heartbeat.count()}
	return s.run()
}

// session is one subscription, as served by the entry.
type session struct {
	feed   *Feed
	stream wirepb.DRPCEntry_SubscribeStream
	scope  wirepb.FeedScope
	// revision, hostsVersion and placementVersion are the versions that the subscriber
	// has; sentConfig and sentHosts are what this session sent last.
	revision         core.Revision
	sentConfig       *config.Snapshot
	hostsVersion     uint64
	sentHosts        fleet.List
	placementVersion uint64
	// heartbeats counts the heartbeats of this process that the session has handled.
	heartbeats uint64
}

// run sends each change and each heartbeat until the stream ends.
func (s *session) run() error {
	for first := true; ; first = false {
		changed, heartbeat := s.feed.changed.wait(), s.feed.heartbeat.wait()
		if err := s.send(s.feed.State(), s.heartbeatDue() || first); err != nil {
			return err
		}
		if !s.feed.isLive() {
			return fault.New(fault.Unavailable, "feed.subscribe", s.feed.opts.Name, "this entry receives no heartbeats itself")
		}
		select {
		case <-changed:
		case <-heartbeat:
		case <-s.stream.Context().Done():
			return nil
		}
	}
}

// heartbeatDue reports whether this process sent a heartbeat since the last call. It
// compares counts, so that a heartbeat that coincides with a change is not lost.
func (s *session) heartbeatDue() bool {
	count := s.feed.heartbeat.count()
	due := count != s.heartbeats
	s.heartbeats = count
	return due
}

// send sends the missing updates, then a heartbeat if it is due.
func (s *session) send(state *State, heartbeat bool) error {
	updates, err := s.missingUpdates(state)
	if err != nil {
		return err
	}
	if heartbeat {
		updates = append(updates, &wirepb.FleetUpdate{Heartbeat: true})
	}
	for _, update := range updates {
		if err := s.stream.Send(update); err != nil {
			return fault.Wrap(fault.Unavailable, "feed.send", s.feed.opts.Name, err)
		}
	}
	return nil
}

// missingUpdates returns the messages that bring the subscriber to state.
func (s *session) missingUpdates(state *State) ([]*wirepb.FleetUpdate, error) {
	var updates []*wirepb.FleetUpdate
	if state.Revision > s.revision || (s.sentConfig == nil && s.revision == 0) {
		configs, err := s.feed.encodings.between(s.baseConfig(), state.config, s.scope)
		if err != nil {
			return nil, err
		}
		updates = append(updates, configs...)
		s.revision, s.sentConfig = state.Revision, state.config
	}
	if state.hosts.Version > s.hostsVersion {
		hosts, err := encodeHosts(fleet.Between(s.baseHosts(), state.hosts))
		if err != nil {
			return nil, err
		}
		update, err := pack(&wirepb.FleetUpdate{Hosts: hosts})
		if err != nil {
			return nil, err
		}
		updates = append(updates, update)
		s.hostsVersion, s.sentHosts = state.hosts.Version, state.hosts
	}
	if state.placementVersion > s.placementVersion {
		plan, err := encodePlacement(state.plan, state.placementVersion)
		if err != nil {
			return nil, err
		}
		updates = append(updates, &wirepb.FleetUpdate{Placement: plan})
		s.placementVersion = state.placementVersion
	}
	return updates, nil
}

// baseConfig returns the configuration that the subscriber has, or nil if it must
// receive the full one.
func (s *session) baseConfig() *config.Snapshot {
	if s.sentConfig != nil {
		return s.sentConfig
	}
	if s.revision == 0 {
		return nil
	}
	return s.feed.configAt(uint64(s.revision))
}

// baseHosts returns the host list that the subscriber has, or an empty one if it must
// receive the whole list.
func (s *session) baseHosts() fleet.List {
	if s.sentHosts.Version != 0 {
		return s.sentHosts
	}
	return s.feed.hostsAt(s.hostsVersion)
}
