package retention

import (
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Policy defines which copies of heads are kept. A copy is removed once it is beyond
// both bounds, Revisions and Age.
type Policy struct {
	// Revisions is the minimum number of revisions kept, including the head's.
	Revisions int
	// Age is the minimum time for which a copy is kept after its change was made.
	Age time.Duration
	// Batch is the maximum number of copies removed per update of the head.
	Batch int
}

// headCopy describes a listed copy of a head.
type headCopy struct {
	key      string
	version  uint64
	revision core.Revision
	accepted int64
}

// withinAge reports whether at least one of the copies is younger than Policy.Age.
func (p Policy) withinAge(copies []headCopy, now time.Time) bool {
	return slices.ContainsFunc(copies, func(c headCopy) bool {
		return now.Unix()-c.accepted < int64(p.Age/time.Second)
	})
}

// nextBatch returns the number of copies in the next batch, and the first revision
// after it. The copies must be in order of revision. The copies of one revision are
// removed together, and the first revision that must be kept ends the batch, so that the
// kept revisions are always the contiguous end of the chain. Copies below head.Oldest
// are removed whatever their age, as an earlier pass has already stopped keeping them.
func (p Policy) nextBatch(head config.Head, copies []headCopy, now time.Time) (int, core.Revision) {
	count := 0
	var cutoff core.Revision
	for count < min(len(copies), p.Batch) {
		revision := copies[count].revision
		group := copies[count:]
		group = group[:countSameRevision(group)]
		if revision+core.Revision(p.Revisions) > head.Revision {
			break
		}
		if revision >= head.Oldest && p.withinAge(group, now) {
			break
		}
		count += len(group)
		cutoff = revision + 1
	}
	return count, cutoff
}

// countSameRevision returns how many copies at the beginning have the same revision.
func countSameRevision(copies []headCopy) int {
	count := 1
	for count < len(copies) && copies[count].revision == copies[0].revision {
		count++
	}
	return count
}
