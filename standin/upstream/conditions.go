package upstream

import (
	"context"
	"sync"
	"time"
)

// Control is the body of POST /control. It replaces all switches.
type Control struct {
	// SlowFactor multiplies all work times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Leaving sets the notice that the upstream is about to go. Work is still
	// taken, so that the ledger shows who ignores the notice.
	Leaving bool `json:"leaving"`
	// FailNext is how many of the next calls fail after their work is done.
	FailNext int `json:"fail_next"`
	// Hang stops all work until it is switched off.
	Hang bool `json:"hang"`
	// LateMS delays each answer's first chunk, in milliseconds.
	LateMS int `json:"late_ms"`
}

// Conditions holds the switches. It may be used by many goroutines.
type Conditions struct {
	mu      sync.Mutex
	control Control
	// changed is closed at the next change and then replaced.
	changed chan struct{}
}

// NewConditions returns switches that are all off.
func NewConditions() *Conditions {
	return &Conditions{changed: make(chan struct{})}
}

// Set replaces the switches.
func (c *Conditions) Set(control Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = control
	close(c.changed)
	c.changed = make(chan struct{})
}

// Get returns the switches, and a channel that is closed at the next change.
func (c *Conditions) Get() (Control, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control, c.changed
}

// FailThis tells whether the call that ends now is to fail.
func (c *Conditions) FailThis() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control.FailNext == 0 {
		return false
	}
	c.control.FailNext--
	return true
}

// Work waits for as long as work of the given nominal duration takes, and while
// the upstream hangs. It fails if ctx ends first.
func (c *Conditions) Work(ctx context.Context, nominal time.Duration) error {
	control, _ := c.Get()
	if control.SlowFactor > 0 {
		nominal = time.Duration(float64(nominal) * control.SlowFactor)
	}
	if err := sleep(ctx, nominal); err != nil {
		return err
	}
	return c.awaitMotion(ctx)
}

// awaitMotion waits while the upstream hangs.
func (c *Conditions) awaitMotion(ctx context.Context) error {
	for {
		control, changed := c.Get()
		if !control.Hang {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
