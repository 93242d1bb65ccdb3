package config

import (
	"reflect"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// Delta is the difference between two configurations, as it is sent to a process
// that holds the first.
type Delta struct {
	Revision core.Revision
	ChangeID string
	// Full is set if the delta replaces the receiver's whole configuration.
	Full bool
	// Templates is nil if they did not change.
	Templates *Templates
	// Workspaces are the new and changed ones; Removed names the removed ones.
	Workspaces []Workspace
	Removed    []string
	// Digest is the digest of the resulting Snapshot.
	Digest uint64
}

// Diff returns the delta from one snapshot to another, all parts of which must be
// loaded. The argument from is nil for a receiver that has no configuration yet.
func Diff(from, to *Snapshot) Delta {
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
		d.addShardDiff(from.shards[i], to.shards[i])
	}
	return d
}

// addShardDiff adds the differences between two versions of one shard.
func (d *Delta) addShardDiff(from, to *Shard) {
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

// Apply returns the result of applying the delta to s, which may be nil for a full
// delta. The error is Conflict if the result's digest differs from the sender's: s
// is not the snapshot that the sender computed the delta from, and the receiver must
// request a full delta.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	next, err := s.base(d)
	if err != nil {
		return nil, err
	}
	if d.Templates != nil {
		next.setTemplates(*d.Templates)
	}
	next.editWorkspaces(d.Workspaces, d.Removed)
	if got := next.Digest(); got != d.Digest {
		return nil, fault.New(fault.Conflict, "config.apply", "", "revision %d has digest %x, the sender's is %x", d.Revision, got, d.Digest)
	}
	return next, nil
}

// base returns a copy of the snapshot that the delta is applied to, under the
// delta's revision.
func (s *Snapshot) base(d Delta) (*Snapshot, error) {
	if d.Full {
		return NewSnapshot(d.Revision, d.ChangeID, Templates{}, nil), nil
	}
	if s == nil {
		return nil, fault.New(fault.Conflict, "config.apply", "", "revision %d arrived as an incremental delta, but there is no snapshot to apply it to", d.Revision)
	}
	next := *s
	next.revision, next.changeID = d.Revision, d.ChangeID
	return &next, nil
}

// editWorkspaces puts and removes workspaces in a snapshot to which no other goroutine
// has a reference yet. Only the shards that are touched are copied.
func (s *Snapshot) editWorkspaces(put []Workspace, removed []string) {
	edits := map[int]*shardEdit{}
	editOf := func(name string) *shardEdit {
		i := ShardOf(name)
		if edits[i] == nil {
			edits[i] = &shardEdit{put: map[string]Workspace{}, removed: map[string]bool{}}
		}
		return edits[i]
	}
	for _, name := range removed {
		editOf(name).removed[name] = true
	}
	for _, w := range put {
		editOf(w.Name).put[w.Name] = w
	}
	for i, e := range edits {
		s.shards[i] = e.apply(s.shards[i])
	}
}

// shardEdit holds the changes to one shard, by workspace name.
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
