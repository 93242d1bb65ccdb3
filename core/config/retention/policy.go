package retention

import (
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Policy tells what is kept. A copy goes when it is beyond both bounds.
type Policy struct {
	// Revisions is how many revisions are kept at least, the head's among them.
	Revisions int
	// Age is how long a copy is kept at least after its change was made.
	Age time.Duration
	// Batch is how many copies are removed for one update of the head.
	Batch int
}

// copyOf is what the machine remembers of a listed copy of a head.
type copyOf struct {
	key      string
	version  uint64
	revision core.Revision
	accepted int64
}

// young tells whether the age of one of the copies alone keeps them.
func (p Policy) young(copies []copyOf, now time.Time) bool {
	return slices.ContainsFunc(copies, func(c copyOf) bool {
		return now.Unix()-c.accepted < int64(p.Age/time.Second)
	})
}

// cut returns how many of the copies, which are in order of revision, are the
// next batch, and the first revision behind it. The copies of one revision are
// never divided, and a kept revision ends the batch: what is kept is always a
// whole end of the chain. Copies below head.Oldest were given up by an earlier
// pass.
func (p Policy) cut(head config.Head, copies []copyOf, now time.Time) (int, core.Revision) {
	batch := 0
	var behind core.Revision
	for batch < min(len(copies), p.Batch) {
		revision := copies[batch].revision
		same := copies[batch:]
		same = same[:sameRevision(same)]
		if revision+core.Revision(p.Revisions) > head.Revision {
			break
		}
		if revision >= head.Oldest && p.young(same, now) {
			break
		}
		batch += len(same)
		behind = revision + 1
	}
	return batch, behind
}

// sameRevision returns how many copies at the beginning have the same revision.
func sameRevision(copies []copyOf) int {
	count := 1
	for count < len(copies) && copies[count].revision == copies[0].revision {
		count++
	}
	return count
}
