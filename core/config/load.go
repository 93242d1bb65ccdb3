package config

import "acaciawinch/core/fault"

// NewUnloaded returns the snapshot that head describes. It shares the parts that the
// snapshot known has loaded under the same hashes; all others are not loaded yet. The
// argument known may be nil.
func NewUnloaded(head Head, known *Snapshot) *Snapshot {
	s := &Snapshot{revision: head.Revision, changeID: head.ChangeID, templatesHash: head.Templates}
	if known != nil && known.templatesLoaded && known.templatesHash == head.Templates {
		s.templates, s.templatesLoaded = known.templates, true
	}
	for i, hash := range head.Shards {
		s.shards[i] = &Shard{hash: hash, loaded: hash == ""}
		if known != nil && known.shards[i].loaded && known.shards[i].hash == hash {
			s.shards[i] = known.shards[i]
		}
	}
	return s
}

// MissingTemplates returns the hash of the templates if they are not loaded, else "".
func (s *Snapshot) MissingTemplates() string {
	if s.templatesLoaded {
		return ""
	}
	return s.templatesHash
}

// MissingShard returns the hash of shard i if it is not loaded, else "".
func (s *Snapshot) MissingShard(i int) string {
	if s.shards[i].loaded {
		return ""
	}
	return s.shards[i].hash
}

// Missing returns the hashes of all parts that are not loaded.
func (s *Snapshot) Missing() []string {
	var hashes []string
	if hash := s.MissingTemplates(); hash != "" {
		hashes = append(hashes, hash)
	}
	for i := range s.shards {
		if hash := s.MissingShard(i); hash != "" {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// WithPart returns a copy of the snapshot with one more part loaded. The error is
// Invalid if the content doesn't match the hash or can't be decoded, and NotFound
// if the snapshot has no unloaded part with this hash.
func (s *Snapshot) WithPart(hash string, data []byte) (*Snapshot, error) {
	next := *s
	found := false
	if s.MissingTemplates() == hash {
		if err := decodePart(hash, data, &next.templates); err != nil {
			return nil, err
		}
		next.templatesLoaded, found = true, true
	}
	for i := range s.shards {
		if s.MissingShard(i) != hash {
			continue
		}
		shard := &Shard{hash: hash, loaded: true}
		if err := decodePart(hash, data, &shard.workspaces); err != nil {
			return nil, err
		}
		next.shards[i], found = shard, true
	}
	if !found {
		return nil, fault.New(fault.NotFound, "config.load", PartKey(hash), "revision %d has no unloaded part with this hash", s.revision)
	}
	return &next, nil
}

// Head returns the head that references the snapshot's parts.
func (s *Snapshot) Head(parent, author, note string) Head {
	head := Head{Revision: s.revision, ChangeID: s.changeID, Parent: parent, Author: author, Note: note,
		Templates: s.templatesHash, Shards: make([]string, ShardCount)}
	for i, shard := range s.shards {
		head.Shards[i] = shard.hash
	}
	return head
}

// PartsSince returns the parts of s that base doesn't have. They must be loaded.
func (s *Snapshot) PartsSince(base *Snapshot) []Part {
	var parts []Part
	if s.templatesHash != base.templatesHash || base.revision == 0 {
		parts = append(parts, encodeTemplates(s.templates))
	}
	for i, shard := range s.shards {
		if shard.hash != base.shards[i].hash && shard.hash != "" {
			parts = append(parts, encodeShard(shard.workspaces))
		}
	}
	return parts
}
