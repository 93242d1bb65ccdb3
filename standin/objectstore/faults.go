package objectstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits are the rate limits of the object API. Zero means unlimited.
type Limits struct {
	// ReadsPerSecond limits reads and watches together, as the platform does.
	ReadsPerSecond  int
	WritesPerSecond int
}

// newLimiter returns a token bucket for the rate, whose burst is the calls of one
// second, or nil if the rate is 0.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Control is the body of POST /control. It replaces all fault switches.
type Control struct {
	// Down makes every call fail with status 503 and without effect.
	Down bool `json:"down"`
	// DelayMS is the delay added to every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of next writes that take effect but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose_answers"`
}

// Stats counts the calls since the server was started.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches in progress.
	Waiting int `json:"waiting"`
	// Limited counts the calls refused by a rate limit.
	Limited uint64 `json:"limited"`
}

// faults holds the fault switches and the call counters. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	control Control
	stats   Stats
	// outage is closed when an outage starts, so that watches in progress end.
	outage chan struct{}
}

// newFaults returns faults with all switches off.
func newFaults() *faults {
	return &faults{outage: make(chan struct{})}
}

// set replaces the fault switches.
func (f *faults) set(control Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if control.Down && !f.control.Down {
		close(f.outage)
	}
	if !control.Down && f.control.Down {
		f.outage = make(chan struct{})
	}
	f.control = control
}

// outageStarted returns a channel that is closed once the store is down.
func (f *faults) outageStarted() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// delay returns the delay added to every call.
func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.control.DelayMS) * time.Millisecond
}

// down reports whether the store is in an outage.
func (f *faults) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control.Down
}

// consumeLostResponse reports whether the write that was just done gets no
// response, and counts it against LoseResponses.
func (f *faults) consumeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.control.LoseResponses == 0 {
		return false
	}
	f.control.LoseResponses--
	return true
}

// count applies change to the counters.
func (f *faults) count(change func(*Stats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.stats)
}

// snapshot returns a copy of the counters.
func (f *faults) snapshot() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}
