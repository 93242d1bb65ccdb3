package config

import (
	"reflect"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// Delta moves a process from one configuration to another.
type Delta struct {
	Revision core.Revision
	ChangeID string
	// Full is set if the delta replaces all that the receiver holds.
	Full bool
	// Templates is nil if they did not change.
	Templates *Templates
	// Workspaces are those that are new or changed; Removed those that are gone.
	Workspaces []Workspace
	Removed    []string
	// Digest is that of the resulting Snapshot.
	Digest uint64
}

// Between returns the delta that leads from one snapshot to another. From may be
// nil for a receiver that holds nothing. Both must be loaded.
func Between(from, to *Snapshot) Delta {
	d := Delta{Revision: to.revision, ChangeID: to.changeID, Digest: to.Digest()}
	if from == nil {
		d.Full = true
		from = Empty()
	}
	if d.Full || from.templatesHash != to.templatesHash {
		templates := to.templates
		d.Templates = &templates
	}
	for i := range to.shards {
		d.addShard(from.shards[i], to.shards[i])
	}
	return d
}

// addShard adds what differs between two versions of one shard.
func (d *Delta) addShard(from, to *Shard) {
	if from.hash == to.hash {
		return
	}
	for _, w := range to.workspaces {
		old, found := find(from.workspaces, w.Name, workspaceName)
		if !found || !reflect.DeepEqual(old, w) {
			d.Workspaces = append(d.Workspaces, w)
		}
	}
	for _, w := range from.workspaces {
		if _, found := find(to.workspaces, w.Name, workspaceName); !found {
			d.Removed = append(d.Removed, w.Name)
		}
	}
}

// Apply returns the snapshot that the delta leads to from s, which may be nil
// for a full delta. The error is Conflict if the result has another digest than
// the sender's, so that the receiver must ask for everything: it held something
// else than the sender believed.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	next, err := s.base(d)
	if err != nil {
		return nil, err
	}
	if d.Templates != nil {
		next.setTemplates(*d.Templates)
	}
	next.edit(d.Workspaces, d.Removed)
	if got := next.Digest(); got != d.Digest {
		return nil, fault.New(fault.Conflict, "config.apply", "", "revision %d has digest %x, the sender's is %x", d.Revision, got, d.Digest)
	}
	return next, nil
}

// base returns a copy of what the delta starts from, under the delta's revision.
func (s *Snapshot) base(d Delta) (*Snapshot, error) {
	if d.Full {
		return NewSnapshot(d.Revision, d.ChangeID, Templates{}, nil), nil
	}
	if s == nil {
		return nil, fault.New(fault.Conflict, "config.apply", "", "revision %d came as a delta to nothing", d.Revision)
	}
	next := *s
	next.revision, next.changeID = d.Revision, d.ChangeID
	return &next, nil
}

// edit replaces and removes workspaces in a snapshot that nobody else has seen.
// Only the shards that are touched are copied.
func (s *Snapshot) edit(put []Workspace, removed []string) {
	edits := map[int]*shardEdit{}
	of := func(name string) *shardEdit {
		i := ShardOf(name)
		if edits[i] == nil {
			edits[i] = &shardEdit{put: map[string]Workspace{}, removed: map[string]bool{}}
		}
		return edits[i]
	}
	for _, name := range removed {
		of(name).removed[name] = true
	}
	for _, w := range put {
		of(w.Name).put[w.Name] = w
	}
	for i, e := range edits {
		s.shards[i] = e.apply(s.shards[i])
	}
}

// shardEdit is what changes in one shard.
type shardEdit struct {
	put     map[string]Workspace
	removed map[string]bool
}

// apply returns the edited shard.
func (e *shardEdit) apply(shard *Shard) *Shard {
	var kept []Workspace
	for _, w := range shard.workspaces {
		_, replaced := e.put[w.Name]
		if !replaced && !e.removed[w.Name] {
			kept = append(kept, w)
		}
	}
	for _, w := range e.put {
		kept = append(kept, w)
	}
	return newShard(kept)
}
