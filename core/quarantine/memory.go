package quarantine

import "acaciawinch/core/fingerprint"

// memory holds the requests that were added last.
type memory struct {
	places map[fingerprint.Fingerprint]int
	// order holds them in a ring, next is where the next one goes.
	order []fingerprint.Fingerprint
	next  int
	most  int
}

// newMemory returns a memory of a number of requests at most.
func newMemory(most int) memory {
	return memory{places: make(map[fingerprint.Fingerprint]int), most: most}
}

// add adds a request in place of the oldest one, if there are enough. One that is there stays where
// it is.
func (m *memory) add(request fingerprint.Fingerprint) {
	if m.has(request) {
		return
	}
	if len(m.order) < m.most {
		m.order = append(m.order, request)
	} else {
		delete(m.places, m.order[m.next])
		m.order[m.next] = request
	}
	m.places[request] = m.next
	m.next = (m.next + 1) % m.most
}

// has tells whether a request is there.
func (m *memory) has(request fingerprint.Fingerprint) bool {
	_, known := m.places[request]
	return known
}
