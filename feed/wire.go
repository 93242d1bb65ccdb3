package feed

import (
	"encoding/json"
	"sync"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/wire/wirepb"
)

// maxMessageBytes bounds the size of the workspaces in one message. A larger delta is sent as
// several ConfigUpdates; all but the last have digest 0.
const maxMessageBytes = 256 << 10

// encodeDelta encodes a delta as one or more messages.
func encodeDelta(d config.Delta) ([]*wirepb.ConfigUpdate, error) {
	first := &wirepb.ConfigUpdate{Revision: uint64(d.Revision), ChangeId: d.ChangeID, Full: d.Full, RemovedWorkspaces: d.Removed}
	if d.Templates != nil {
		data, err := json.Marshal(d.Templates)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, "feed.encode", "", err)
		}
		first.Templates = data
	}
	updates, size := []*wirepb.ConfigUpdate{first}, 0
	for _, w := range d.Workspaces {
		data, err := json.Marshal(w)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, "feed.encode", "", err)
		}
		if size+len(data) > maxMessageBytes {
			updates = append(updates, &wirepb.ConfigUpdate{Revision: uint64(d.Revision), ChangeId: d.ChangeID})
			size = 0
		}
		size += len(data)
		last := updates[len(updates)-1]
		last.Workspaces = append(last.Workspaces, data)
	}
	updates[len(updates)-1].Digest = d.Digest
	return updates, nil
}

// packDelta returns the messages of a delta as they are sent.
func packDelta(d config.Delta) ([]*wirepb.FleetUpdate, error) {
	messages, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	updates := make([]*wirepb.FleetUpdate, len(messages))
	for i, message := range messages {
		if updates[i], err = pack(&wirepb.FleetUpdate{Config: message}); err != nil {
			return nil, err
		}
	}
	return updates, nil
}

// assembler joins the messages of one delta.
type assembler struct {
	delta   config.Delta
	started bool
}

// add adds one message. It returns the delta and true once it is complete.
func (a *assembler) add(update *wirepb.ConfigUpdate) (config.Delta, bool, error) {
	if !a.started {
		a.delta = config.Delta{Revision: core.Revision(update.GetRevision()), ChangeID: update.GetChangeId(),
			Full: update.GetFull(), Removed: update.GetRemovedWorkspaces()}
		a.started = true
	}
	if uint64(a.delta.Revision) != update.GetRevision() {
		return config.Delta{}, false, fault.New(fault.Invalid, "feed.decode", "", "message of revision %d received before revision %d was complete", update.GetRevision(), a.delta.Revision)
	}
	if err := a.parse(update); err != nil {
		return config.Delta{}, false, fault.Wrap(fault.Invalid, "feed.decode", "", err)
	}
	if update.GetDigest() == 0 {
		return config.Delta{}, false, nil
	}
	a.started = false
	a.delta.Digest = update.GetDigest()
	return a.delta, true, nil
}

// parse decodes the JSON values in one message.
func (a *assembler) parse(update *wirepb.ConfigUpdate) error {
	if data := update.GetTemplates(); data != nil {
		a.delta.Templates = &config.Templates{}
		if err := json.Unmarshal(data, a.delta.Templates); err != nil {
			return err
		}
	}
	for _, data := range update.GetWorkspaces() {
		var w config.Workspace
		if err := json.Unmarshal(data, &w); err != nil {
			return err
		}
		a.delta.Workspaces = append(a.delta.Workspaces, w)
	}
	return nil
}

// encodeHosts encodes a change of the host list.
func encodeHosts(d fleet.Delta) (*wirepb.HostsUpdate, error) {
	update := &wirepb.HostsUpdate{Version: d.Version, Base: d.Base, Removed: d.Removed}
	for _, host := range d.Changed {
		data, err := json.Marshal(host)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, "feed.encode", "", err)
		}
		update.Hosts = append(update.Hosts, data)
	}
	return update, nil
}

// decodeHosts decodes a change of the host list.
func decodeHosts(update *wirepb.HostsUpdate) (fleet.Delta, error) {
	d := fleet.Delta{Version: update.GetVersion(), Base: update.GetBase(), Removed: update.GetRemoved(),
		Changed: make([]fleet.Host, len(update.GetHosts()))}
	for i, data := range update.GetHosts() {
		if err := json.Unmarshal(data, &d.Changed[i]); err != nil {
			return fleet.Delta{}, fault.Wrap(fault.Invalid, "feed.decode", "", err)
		}
	}
	return d, nil
}

// encodePlacement encodes a placement.
func encodePlacement(plan placement.Plan, version uint64) (*wirepb.PlacementUpdate, error) {
	data, err := json.Marshal(plan)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "feed.encode", "", err)
	}
	return &wirepb.PlacementUpdate{Version: version, Plan: data}, nil
}

// encodings caches the messages that update subscribers to the newest configuration, since most
// subscribers update from the same previous one.
type encodings struct {
	mu     sync.Mutex
	target core.Revision
	cache  map[encodingKey][]*wirepb.FleetUpdate
}

// encodingKey identifies a delta by its base revision and scope. Revision 0, that of a
// subscriber without a configuration, stands for the full state.
type encodingKey struct {
	from  core.Revision
	scope wirepb.FeedScope
}

// between returns the messages that update a subscriber from one snapshot to another; from
// is nil if the subscriber has none.
func (e *encodings) between(from, to *config.Snapshot, scope wirepb.FeedScope) ([]*wirepb.FleetUpdate, error) {
	key := encodingKey{scope: scope}
	if from != nil && from.Revision() == 0 {
		from = nil
	}
	if from != nil {
		key.from = from.Revision()
	}
	if cached := e.lookup(key, to.Revision()); cached != nil {
		return cached, nil
	}
	if scope == wirepb.FeedScope_FEED_SIDE {
		to = to.WithoutWorkspaces()
		if from != nil {
			from = from.WithoutWorkspaces()
		}
	}
	updates, err := packDelta(config.Diff(from, to))
	if err != nil {
		return nil, err
	}
	e.store(key, to.Revision(), updates)
	return updates, nil
}

// lookup returns the cached messages, or nil.
func (e *encodings) lookup(key encodingKey, to core.Revision) []*wirepb.FleetUpdate {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target != to {
		return nil
	}
	return e.cache[key]
}

// store caches messages, unless they are those of an older configuration than the cached
// ones.
func (e *encodings) store(key encodingKey, to core.Revision, updates []*wirepb.FleetUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target > to {
		return
	}
	if e.target < to || e.cache == nil {
		e.target, e.cache = to, map[encodingKey][]*wirepb.FleetUpdate{}
	}
	e.cache[key] = updates
}
