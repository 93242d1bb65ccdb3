package config

import (
	"fmt"
	"hash/fnv"

	"acaciawinch/core"
)

// Keys of the objects that hold the configuration.
const (
	// HeadKey is the key of the Head, the only configuration object that changes.
	HeadKey = "config/head"
	// PartPrefix is the key prefix of the immutable parts.
	PartPrefix = "config/part/"
	// ChangePrefix is the key prefix of the immutable copies of each head.
	ChangePrefix = "config/change/"
)

// ShardCount is the number of parts that the workspaces are spread over. At 18,000
// workspaces of some 400 bytes a changed part has 56 kB and the head 4.5 kB. Fewer
// shards enlarge the part that each change writes, more shards enlarge the head.
const ShardCount = 128

// PartKey returns the key of the part with the given content hash.
func PartKey(hash string) string { return PartPrefix + hash }

// ChangeKey returns the key of the copy of the head that the change with the given
// id wrote for revision. Writers that race for one revision have different ids,
// hence different keys.
func ChangeKey(revision core.Revision, id string) string {
	return fmt.Sprintf("%s%012d-%s", ChangePrefix, revision, id)
}

// ShardOf returns the index of the shard that holds the workspace.
func ShardOf(workspace string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace)) // hash.Hash.Write never fails
	return int(hash.Sum64() % ShardCount)
}
