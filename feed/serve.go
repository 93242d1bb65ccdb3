package feed

import (
	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/wire/wirepb"
)

// maxSubscribers bounds how many processes follow one entry: a fleet in which
// all relays but one are gone for a moment.
const maxSubscribers = 2048

// Subscribe serves the feed of this entry to another process until the stream
// ends. The first heartbeat follows what the subscriber lacked at the beginning;
// an entry that is not fed itself ends the stream behind it, with Unavailable.
func (f *Feed) Subscribe(req *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
	if f.State() == nil {
		return fault.New(fault.Unavailable, "feed.subscribe", f.opts.Name, "this entry has no state yet")
	}
	if f.meters.subscribers.Load() >= maxSubscribers {
		return fault.New(fault.Unavailable, "feed.subscribe", f.opts.Name, "this entry has enough subscribers")
	}
	f.meters.subscribed(1)
	defer f.meters.subscribed(-1)
	f.NoteRevision(core.Revision(req.GetRevision()), "")
	s := &session{feed: f, stream: stream, scope: req.GetScope(), revision: core.Revision(req.GetRevision()),
		hosts: req.GetHostsVersion(), placement: req.GetPlacementVersion(), pulses: f.pulse.count()}
	return s.run()
}

// session is one subscriber, as the entry sees it.
type session struct {
	feed   *Feed
	stream wirepb.DRPCEntry_SubscribeStream
	scope  wirepb.FeedScope
	// revision, hosts and placement are what the subscriber holds; sent and
	// sentHosts are what this session sent last.
	revision  core.Revision
	sent      *config.Snapshot
	hosts     uint64
	sentHosts fleet.List
	placement uint64
	// pulses is how many heartbeats of this process the session has passed on.
	pulses uint64
}

// run sends each change and each heartbeat until the stream ends.
func (s *session) run() error {
	for first := true; ; first = false {
		changed, pulse := s.feed.changed.wait(), s.feed.pulse.wait()
		if err := s.send(s.feed.State(), s.beats() || first); err != nil {
			return err
		}
		if !s.feed.isFed() {
			return fault.New(fault.Unavailable, "feed.subscribe", s.feed.opts.Name, "this entry is not fed itself")
		}
		select {
		case <-changed:
		case <-pulse:
		case <-s.stream.Context().Done():
			return nil
		}
	}
}

// beats tells whether a heartbeat is due: one was since the last call. It is
// counted, so that a heartbeat that falls together with a change isn't lost.
func (s *session) beats() bool {
	count := s.feed.pulse.count()
	due := count != s.pulses
	s.pulses = count
	return due
}

// send sends what the subscriber lacks.
func (s *session) send(state *State, beat bool) error {
	updates, err := s.lacking(state)
	if err != nil {
		return err
	}
	if beat {
		updates = append(updates, &wirepb.FleetUpdate{Heartbeat: true})
	}
	for _, update := range updates {
		if err := s.stream.Send(update); err != nil {
			return fault.Wrap(fault.Unavailable, "feed.send", s.feed.opts.Name, err)
		}
	}
	return nil
}

// lacking returns the messages that bring the subscriber to state.
func (s *session) lacking(state *State) ([]*wirepb.FleetUpdate, error) {
	var updates []*wirepb.FleetUpdate
	if state.Revision > s.revision || (s.sent == nil && s.revision == 0) {
		configs, err := s.feed.encodings.between(s.before(), state.config, s.scope)
		if err != nil {
			return nil, err
		}
		updates = append(updates, configs...)
		s.revision, s.sent = state.Revision, state.config
	}
	if state.hosts.Version > s.hosts {
		hosts, err := encodeHosts(fleet.Between(s.hostsBefore(), state.hosts))
		if err != nil {
			return nil, err
		}
		update, err := pack(&wirepb.FleetUpdate{Hosts: hosts})
		if err != nil {
			return nil, err
		}
		updates = append(updates, update)
		s.hosts, s.sentHosts = state.hosts.Version, state.hosts
	}
	if state.placementVersion > s.placement {
		plan, err := encodePlacement(state.plan, state.placementVersion)
		if err != nil {
			return nil, err
		}
		updates = append(updates, &wirepb.FleetUpdate{Placement: plan})
		s.placement = state.placementVersion
	}
	return updates, nil
}

// before returns the configuration that the subscriber holds, or nil if it must
// get everything.
func (s *session) before() *config.Snapshot {
	if s.sent != nil {
		return s.sent
	}
	if s.revision == 0 {
		return nil
	}
	return s.feed.earlier(uint64(s.revision))
}

// hostsBefore returns the host list that the subscriber holds, or an empty one if
// it must get everything.
func (s *session) hostsBefore() fleet.List {
	if s.sentHosts.Version != 0 {
		return s.sentHosts
	}
	return s.feed.earlierHosts(s.hosts)
}
