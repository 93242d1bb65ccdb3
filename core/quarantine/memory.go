package quarantine

import "acaciawinch/core/fingerprint"

// boundedCounts counts how often the fingerprints that came last were added, up to a number of them.
type boundedCounts struct {
	// index holds the place of each fingerprint in ring and counts.
	index map[fingerprint.Fingerprint]int
	// ring holds the fingerprints in a ring buffer, counts their counts; next is the index of the next write.
	ring     []fingerprint.Fingerprint
	counts   []int
	next     int
	capacity int
}

// newBoundedCounts returns counts of at most capacity fingerprints.
func newBoundedCounts(capacity int) boundedCounts {
	return boundedCounts{index: make(map[fingerprint.Fingerprint]int), capacity: capacity}
}

// add counts a fingerprint once.
func (b *boundedCounts) add(f fingerprint.Fingerprint) { b.addCount(f, 1) }

// addCount adds to the count of a fingerprint, and drops the one that has been held longest if there is no room. One that is
// held already keeps its place.
func (b *boundedCounts) addCount(f fingerprint.Fingerprint, count int) {
	if count == 0 {
		return
	}
	if at, found := b.index[f]; found {
		b.counts[at] += count
		return
	}
	if len(b.ring) < b.capacity {
		b.ring, b.counts = append(b.ring, f), append(b.counts, count)
	} else {
		delete(b.index, b.ring[b.next])
		b.ring[b.next], b.counts[b.next] = f, count
	}
	b.index[f] = b.next
	b.next = (b.next + 1) % b.capacity
}

// count returns the count of a fingerprint, 0 if it is not held.
func (b *boundedCounts) count(f fingerprint.Fingerprint) int {
	if at, found := b.index[f]; found {
		return b.counts[at]
	}
	return 0
}
