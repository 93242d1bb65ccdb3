package config

import (
	"encoding/json"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// Head references the parts of one accepted configuration.
type Head struct {
	// Revision is one above that of the previous head.
	Revision core.Revision `json:"revision"`
	// ChangeID is the random id of the change that wrote this head. A writer that
	// lost the response to its update finds its own id here or among the parents.
	ChangeID string `json:"change_id"`
	// Parent is the key of the copy of the previous head; empty for the first.
	Parent string `json:"parent,omitempty"`
	// Author and Note are shown to operators only.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// AcceptedUnix is the Unix time in seconds, by the operator's clock, at which the
	// change was made. It is shown to operators and decides how long the copy is kept.
	AcceptedUnix int64 `json:"accepted_unix,omitempty"`
	// Oldest is the first revision that is still kept; 0 and 1 keep all. It never
	// decreases. Copies of the head don't hold it, because a copy never changes.
	Oldest core.Revision `json:"oldest,omitempty"`
	// Templates and Shards are content hashes of parts; "" for an empty shard.
	Templates string   `json:"templates"`
	Shards    []string `json:"shards"`
}

// Encode returns the head's object value.
func (h Head) Encode() []byte { return encode(h) }

// DecodeHead decodes a head's object value.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, fault.Wrap(fault.Invalid, "config.head", HeadKey, err)
	}
	if len(head.Shards) != ShardCount {
		return Head{}, fault.New(fault.Invalid, "config.head", HeadKey, "%d shards, want %d", len(head.Shards), ShardCount)
	}
	return head, nil
}

// Key returns the key of the immutable copy of the head.
func (h Head) Key() string { return ChangeKey(h.Revision, h.ChangeID) }

// Copy returns the head as it is written to its immutable copy.
func (h Head) Copy() Head {
	h.Oldest = 0
	return h
}

// Parts returns the content hashes of all parts that the head references.
func (h Head) Parts() []string {
	var hashes []string
	if h.Templates != "" {
		hashes = append(hashes, h.Templates)
	}
	for _, hash := range h.Shards {
		if hash != "" {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
