package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"acaciawinch/core"
)

// Shard holds the workspaces of one shard. It is immutable.
type Shard struct {
	// hash identifies the shard's part; "" if it has no workspaces.
	hash string
	// loaded is false while only the hash is known.
	loaded     bool
	workspaces []Workspace
}

// Snapshot is the whole configuration at one revision. It is immutable and safe
// for concurrent use. Snapshots share the parts in which they are equal.
type Snapshot struct {
	revision      core.Revision
	changeID      string
	templates     Templates
	templatesHash string
	// templatesLoaded is false while only the hash is known.
	templatesLoaded bool
	shards          [ShardCount]*Shard
}

// Empty returns the configuration before the first change: revision zero, without
// content.
func Empty() *Snapshot { return NewSnapshot(0, "", Templates{}, nil) }

// NewSnapshot returns a snapshot of the given content, which it doesn't validate.
func NewSnapshot(revision core.Revision, changeID string, templates Templates, workspaces []Workspace) *Snapshot {
	s := &Snapshot{revision: revision, changeID: changeID}
	s.setTemplates(templates)
	var groups [ShardCount][]Workspace
	for _, w := range workspaces {
		i := ShardOf(w.Name)
		groups[i] = append(groups[i], w)
	}
	for i, group := range groups {
		s.shards[i] = newShard(group)
	}
	return s
}

// newShard returns a loaded shard of workspaces.
func newShard(workspaces []Workspace) *Shard {
	sorted := sortedBy(workspaces, workspaceName)
	return &Shard{hash: encodeShard(sorted).Hash, loaded: true, workspaces: sorted}
}

// setTemplates replaces the templates. No other goroutine may have a reference to the
// snapshot yet.
func (s *Snapshot) setTemplates(templates Templates) {
	s.templates = templates.Canonical()
	s.templatesHash = encodeTemplates(s.templates).Hash
	s.templatesLoaded = true
}

// Revision returns the revision of the change that produced this configuration.
func (s *Snapshot) Revision() core.Revision { return s.revision }

// ChangeID returns the id of the change that produced this configuration.
func (s *Snapshot) ChangeID() string { return s.changeID }

// Templates returns the part that all workspaces share. Callers must not modify it.
func (s *Snapshot) Templates() Templates { return s.templates }

// Template finds a template by name.
func (s *Snapshot) Template(name string) (Template, bool) {
	return find(s.templates.Templates, name, func(t Template) string { return t.Name })
}

// Workspace finds a workspace by name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	return find(s.shards[ShardOf(name)].workspaces, name, workspaceName)
}

// Drained reports whether operators have drained the upstream.
func (s *Snapshot) Drained(upstream string) bool {
	_, found := slices.BinarySearch(s.templates.Drained, upstream)
	return found
}

// Workspaces returns all loaded workspaces, in no particular order.
func (s *Snapshot) Workspaces() []Workspace {
	var all []Workspace
	for _, shard := range s.shards {
		all = append(all, shard.workspaces...)
	}
	return all
}

// WithoutWorkspaces returns the configuration that sidecars hold: all but the
// workspaces.
func (s *Snapshot) WithoutWorkspaces() *Snapshot {
	bare := *s
	for i := range bare.shards {
		bare.shards[i] = &Shard{loaded: true}
	}
	return &bare
}

// Digest returns a hash of the content, never zero. Equal digests mean equal
// templates, models, drained upstreams and workspaces.
func (s *Snapshot) Digest() uint64 {
	hash := sha256.New()
	_, _ = hash.Write([]byte(s.templatesHash)) // hash.Hash.Write never fails
	for _, shard := range s.shards {
		_, _ = hash.Write([]byte("/" + shard.hash)) // hash.Hash.Write never fails
	}
	return max(binary.BigEndian.Uint64(hash.Sum(nil)), 1)
}

// find looks up a name in values that are sorted by name.
func find[T any](values []T, name string, key func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(values, name, func(x T, name string) int { return cmp.Compare(key(x), name) })
	if !found {
		var none T
		return none, false
	}
	return values[i], true
}
