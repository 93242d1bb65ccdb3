package quarantine

import "acaciawinch/core/fingerprint"

// boundedSet holds the requests that were added last, up to capacity.
type boundedSet struct {
	index map[fingerprint.Fingerprint]int
	// ring holds the requests in a ring buffer; next is the index of the next write.
	ring     []fingerprint.Fingerprint
	next     int
	capacity int
}

// newBoundedSet returns a set that holds at most capacity requests.
func newBoundedSet(capacity int) boundedSet {
	return boundedSet{index: make(map[fingerprint.Fingerprint]int), capacity: capacity}
}

// add adds a request and evicts the oldest one if the set is full. A request that is already in the
// set keeps its place.
func (s *boundedSet) add(request fingerprint.Fingerprint) {
	if s.contains(request) {
		return
	}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, request)
	} else {
		delete(s.index, s.ring[s.next])
		s.ring[s.next] = request
	}
	s.index[request] = s.next
	s.next = (s.next + 1) % s.capacity
}

// contains reports whether a request is in the set.
func (s *boundedSet) contains(request fingerprint.Fingerprint) bool {
	_, found := s.index[request]
	return found
}
