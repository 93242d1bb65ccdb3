package pools

import "time"

// refusalKey identifies a stage of a request, whichever attempt of its client it belongs to.
type refusalKey struct {
	fingerprint string
	stage       int
}

// refusals remembers the requests that were refused, until they return or their deadline has
// passed.
type refusals struct {
	until map[refusalKey]time.Time
	// pruned is when those whose deadline has passed were last dropped.
	pruned time.Time
}

// maxRefusals bounds the remembered requests. With 150 refused in a second and deadlines of up to 20 s, 3,000 are
// remembered; beyond the bound a request that returns counts as demand twice.
const maxRefusals = 4096

// pruneInterval is the least time between two passes over the remembered requests.
const pruneInterval = time.Second

// newRefusals returns empty refusals.
func newRefusals() *refusals { return &refusals{until: make(map[refusalKey]time.Time)} }

// add remembers a request until a time.
func (r *refusals) add(key refusalKey, until time.Time) {
	if len(r.until) < maxRefusals {
		r.until[key] = until
	}
}

// take forgets a request, and reports whether it was remembered.
func (r *refusals) take(key refusalKey, now time.Time) bool {
	if now.Sub(r.pruned) >= pruneInterval {
		r.prune(now)
	}
	until, known := r.until[key]
	delete(r.until, key)
	return known && now.Before(until)
}

// prune forgets the requests whose deadline has passed.
func (r *refusals) prune(now time.Time) {
	r.pruned = now
	for key, until := range r.until {
		if !now.Before(until) {
			delete(r.until, key)
		}
	}
}
