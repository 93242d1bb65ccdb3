// Package copies keeps copies of a request that arrive at the same time together. A request that
// crashes each upstream that runs it is often sent in several copies before its first crash is known.
// If each copy went to another upstream, all of these would crash at once.
//
// Only requests that are not known to complete are kept together, and only for firstRunTime: an
// upstream that a request crashes ends as soon as it runs the request.
//
// The package does no I/O and reads no wall clock. It is not safe for concurrent use.
package copies

import (
	"time"

	"acaciawinch/core/fingerprint"
)

// firstRunTime is how long after the first copy of a request further copies go to the same upstream.
const firstRunTime = time.Second

// Tracker knows where copies of requests run.
type Tracker struct {
	running map[fingerprint.Fingerprint]*run
}

// run is where the copies of one request run.
type run struct {
	// upstream is the incarnation that got the first copy, at since.
	upstream string
	since    time.Time
	// copies counts the copies that run there.
	copies int
}

// New returns a Tracker that knows of no requests.
func New() *Tracker { return &Tracker{running: make(map[fingerprint.Fingerprint]*run)} }

// Upstream returns the incarnation of the upstream that the next copy of a request should go to, empty
// if any may get it.
func (t *Tracker) Upstream(request fingerprint.Fingerprint, now time.Time) string {
	first := t.running[request]
	if first == nil || now.Sub(first.since) >= firstRunTime {
		return ""
	}
	return first.upstream
}

// Started records that a copy of a request was sent to an upstream. Each call must be followed by one
// of Ended.
func (t *Tracker) Started(request fingerprint.Fingerprint, upstream string, now time.Time) {
	if first := t.running[request]; first != nil && first.upstream == upstream {
		first.copies++
		return
	}
	t.running[request] = &run{upstream: upstream, since: now, copies: 1}
}

// Ended records that a copy of a request has ended at an upstream.
func (t *Tracker) Ended(request fingerprint.Fingerprint, upstream string) {
	first := t.running[request]
	if first == nil || first.upstream != upstream {
		return // later copies run elsewhere
	}
	first.copies--
	if first.copies == 0 {
		delete(t.running, request)
	}
}
