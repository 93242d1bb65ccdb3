package config

import (
	"fmt"
	"hash/fnv"

	"acaciawinch/core"
)

// Names of the objects that hold the configuration.
const (
	// HeadKey names the only configuration object that changes: the Head.
	HeadKey = "config/head"
	// PartPrefix begins the names of the immutable parts.
	PartPrefix = "config/part/"
	// ChangePrefix begins the names of the immutable copies of each head.
	ChangePrefix = "config/change/"
)

// ShardCount is how many parts the workspaces are spread over. At 18,000 workspaces
// of some 400 bytes a changed part has 56 kB and the head 4.5 kB: fewer shards make
// the part that each change writes larger, more the head.
const ShardCount = 128

// PartKey names the part with the given content hash.
func PartKey(hash string) string { return PartPrefix + hash }

// ChangeKey names the copy of the head that change id wrote for revision.
// Writers that race for one revision have different ids, hence different keys.
func ChangeKey(revision core.Revision, id string) string {
	return fmt.Sprintf("%s%012d-%s", ChangePrefix, revision, id)
}

// ShardOf returns which shard holds the workspace.
func ShardOf(workspace string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace)) // a hash takes every byte
	return int(hash.Sum64() % ShardCount)
}
