package config

import "acaciawinch/core/fault"

// Outline returns the snapshot that head names. What known, which may be nil,
// has with the same hashes is shared; everything else is not loaded yet.
func Outline(head Head, known *Snapshot) *Snapshot {
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

// TemplatesMissing returns the hash of the templates if they are not loaded, or "".
func (s *Snapshot) TemplatesMissing() string {
	if s.templatesLoaded {
		return ""
	}
	return s.templatesHash
}

// ShardMissing returns the hash of shard i if it is not loaded, or "".
func (s *Snapshot) ShardMissing(i int) string {
	if s.shards[i].loaded {
		return ""
	}
	return s.shards[i].hash
}

// Missing returns the hashes of all parts that are not loaded.
func (s *Snapshot) Missing() []string {
	var hashes []string
	if hash := s.TemplatesMissing(); hash != "" {
		hashes = append(hashes, hash)
	}
	for i := range s.shards {
		if hash := s.ShardMissing(i); hash != "" {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// WithPart returns the snapshot with one more part loaded. The error is Invalid
// if the data doesn't have the hash, and NotFound if the snapshot has no such part.
func (s *Snapshot) WithPart(hash string, data []byte) (*Snapshot, error) {
	next := *s
	used := false
	if s.TemplatesMissing() == hash {
		if err := decodePart(hash, data, &next.templates); err != nil {
			return nil, err
		}
		next.templatesLoaded, used = true, true
	}
	for i := range s.shards {
		if s.ShardMissing(i) != hash {
			continue
		}
		shard := &Shard{hash: hash, loaded: true}
		if err := decodePart(hash, data, &shard.workspaces); err != nil {
			return nil, err
		}
		next.shards[i], used = shard, true
	}
	if !used {
		return nil, fault.New(fault.NotFound, "config.load", PartKey(hash), "revision %d misses no such part", s.revision)
	}
	return &next, nil
}

// Head returns the head that names the snapshot's parts.
func (s *Snapshot) Head(parent, author, note string) Head {
	head := Head{Revision: s.revision, ChangeID: s.changeID, Parent: parent, Author: author, Note: note,
		Templates: s.templatesHash, Shards: make([]string, ShardCount)}
	for i, shard := range s.shards {
		head.Shards[i] = shard.hash
	}
	return head
}

// PartsSince returns the parts that s has and base doesn't. They must be loaded.
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
