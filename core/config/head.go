package config

import (
	"encoding/json"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// Head names the parts of one accepted configuration.
type Head struct {
	// Revision is one above that of the head before.
	Revision core.Revision `json:"revision"`
	// ChangeID is the random id of the change that wrote this head. A writer
	// whose answer was lost finds its own id here or among the parents.
	ChangeID string `json:"change_id"`
	// Parent is the key of the change before; empty for the first.
	Parent string `json:"parent,omitempty"`
	// Author and Note are for people.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// AcceptedUnix is when the change was made by its operator's clock, in seconds.
	// It only tells people and decides how long the copy is kept.
	AcceptedUnix int64 `json:"accepted_unix,omitempty"`
	// Oldest is the first revision that is still kept; 0 and 1 keep all. It only
	// rises, stands in the head alone, and not in the copies: a copy never changes.
	Oldest core.Revision `json:"oldest,omitempty"`
	// Templates and Shards are content hashes of parts; an empty shard has "".
	Templates string   `json:"templates"`
	Shards    []string `json:"shards"`
}

// Encode returns the head's object value.
func (h Head) Encode() []byte { return encode(h) }

// DecodeHead reads a head's object value.
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

// Key names the immutable copy of the head.
func (h Head) Key() string { return ChangeKey(h.Revision, h.ChangeID) }

// Copy returns the head as its immutable copy is written.
func (h Head) Copy() Head {
	h.Oldest = 0
	return h
}

// Parts returns the content hashes of all parts that the head names.
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
