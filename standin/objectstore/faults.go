package objectstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits bound the calls that the object API takes. Zero means no bound.
type Limits struct {
	// ReadsPerSecond counts reads and watches together, as the platform does.
	ReadsPerSecond  int
	WritesPerSecond int
}

// limiter returns the limiter of one bound, which lets a second's calls come at
// once, or nil if there is none.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Control is the body of POST /control. It replaces all switches.
type Control struct {
	// Down makes every call fail with 503 and without effect.
	Down bool `json:"down"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// Stats counts the calls since the start.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Waiting is how many watches wait now.
	Waiting int `json:"waiting"`
	// Limited counts the calls refused because a rate was passed.
	Limited uint64 `json:"limited"`
}

// faults holds the switches and the counts. It may be used by many goroutines.
type faults struct {
	mu      sync.Mutex
	control Control
	stats   Stats
	// outage is closed when the store goes down, so that waiting watches end.
	outage chan struct{}
}

// newFaults returns switches that are all off.
func newFaults() *faults {
	return &faults{outage: make(chan struct{})}
}

// set replaces the switches.
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

// outageBegins returns a channel that is closed while the store is down.
func (f *faults) outageBegins() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// delay returns what is added to each call.
func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.control.DelayMS) * time.Millisecond
}

// down tells whether the store is in an outage.
func (f *faults) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control.Down
}

// loseAnswer tells whether the answer of the write just done is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.control.LoseAnswers == 0 {
		return false
	}
	f.control.LoseAnswers--
	return true
}

// count applies change to the counts.
func (f *faults) count(change func(*Stats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.stats)
}

// snapshot returns the counts.
func (f *faults) snapshot() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}
