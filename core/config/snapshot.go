package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"acaciawinch/core"
)

// Shard is the workspaces of one shard. It is never changed.
type Shard struct {
	// hash names the shard's part; "" if it has no workspaces.
	hash string
	// loaded is false while only the hash is known.
	loaded     bool
	workspaces []Workspace
}

// Snapshot is the whole configuration at one revision. It is never changed, and
// may be read by many goroutines. Snapshots share what is equal in them.
type Snapshot struct {
	revision      core.Revision
	changeID      string
	templates     Templates
	templatesHash string
	// templatesLoaded is false while only the hash is known.
	templatesLoaded bool
	shards          [ShardCount]*Shard
}

// Empty returns the configuration before the first change: revision zero,
// nothing in it.
func Empty() *Snapshot { return NewSnapshot(0, "", Templates{}, nil) }

// NewSnapshot returns the given configuration. Nothing is validated.
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

// newShard returns a shard of the given workspaces.
func newShard(workspaces []Workspace) *Shard {
	sorted := sortedBy(workspaces, workspaceName)
	return &Shard{hash: encodeShard(sorted).Hash, loaded: true, workspaces: sorted}
}

// setTemplates is for a snapshot that nobody else has seen yet.
func (s *Snapshot) setTemplates(templates Templates) {
	s.templates = templates.Canonical()
	s.templatesHash = encodeTemplates(s.templates).Hash
	s.templatesLoaded = true
}

// Revision returns the number of the change that made this configuration.
func (s *Snapshot) Revision() core.Revision { return s.revision }

// ChangeID returns the id of the change that made this configuration.
func (s *Snapshot) ChangeID() string { return s.changeID }

// Templates returns the shared part. It must not be changed.
func (s *Snapshot) Templates() Templates { return s.templates }

// Template finds a template by name.
func (s *Snapshot) Template(name string) (Template, bool) {
	return find(s.templates.Templates, name, func(t Template) string { return t.Name })
}

// Workspace finds a workspace by name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	return find(s.shards[ShardOf(name)].workspaces, name, workspaceName)
}

// Drained tells whether operators have taken the upstream out.
func (s *Snapshot) Drained(upstream string) bool {
	_, found := slices.BinarySearch(s.templates.Drained, upstream)
	return found
}

// Workspaces returns all workspaces that are loaded, in no useful order.
func (s *Snapshot) Workspaces() []Workspace {
	var all []Workspace
	for _, shard := range s.shards {
		all = append(all, shard.workspaces...)
	}
	return all
}

// WithoutWorkspaces returns the configuration as side processes hold it.
func (s *Snapshot) WithoutWorkspaces() *Snapshot {
	bare := *s
	for i := range bare.shards {
		bare.shards[i] = &Shard{loaded: true}
	}
	return &bare
}

// Digest is a hash of the content, never zero. Equal digests mean equal
// templates, models, drained upstreams and workspaces.
func (s *Snapshot) Digest() uint64 {
	hash := sha256.New()
	_, _ = hash.Write([]byte(s.templatesHash)) // a hash takes every byte
	for _, shard := range s.shards {
		_, _ = hash.Write([]byte("/" + shard.hash)) // a hash takes every byte
	}
	return max(binary.BigEndian.Uint64(hash.Sum(nil)), 1)
}

// find looks up a name in values that are in order of name.
func find[T any](values []T, name string, key func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(values, name, func(x T, name string) int { return cmp.Compare(key(x), name) })
	if !found {
		var none T
		return none, false
	}
	return values[i], true
}
