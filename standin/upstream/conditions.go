package upstream

import (
	"context"
	"sync"
	"time"
)

// Control is the body of POST /control. It replaces all fault switches.
type Control struct {
	// SlowFactor multiplies all work times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Leaving announces that the upstream is about to shut down. Calls are still
	// accepted, so that the ledger shows which callers ignore the announcement.
	Leaving bool `json:"leaving"`
	// FailNext is the number of next calls that fail after their work is done.
	FailNext int `json:"fail_next"`
	// Hang stalls all work until it is reset.
	Hang bool `json:"hang"`
	// LateMS delays the first chunk of each response, in milliseconds.
	LateMS int `json:"late_ms"`
}

// Conditions holds the fault switches. It is safe for concurrent use.
type Conditions struct {
	mu      sync.Mutex
	control Control
	// changed is closed and replaced whenever the switches change.
	changed chan struct{}
}

// NewConditions returns Conditions with all fault switches off.
func NewConditions() *Conditions {
	return &Conditions{changed: make(chan struct{})}
}

// Set replaces the fault switches.
func (c *Conditions) Set(control Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = control
	close(c.changed)
	c.changed = make(chan struct{})
}

// Get returns the fault switches and a channel that is closed when they next change.
func (c *Conditions) Get() (Control, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control, c.changed
}

// ConsumeFailure reports whether the call that is ending must fail, and counts it
// against FailNext.
func (c *Conditions) ConsumeFailure() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control.FailNext == 0 {
		return false
	}
	c.control.FailNext--
	return true
}

// Work simulates work of the given nominal duration: it waits for that duration,
// scaled by SlowFactor, and then while Hang is set. It fails if ctx ends first.
func (c *Conditions) Work(ctx context.Context, nominal time.Duration) error {
	control, _ := c.Get()
	if control.SlowFactor > 0 {
		nominal = time.Duration(float64(nominal) * control.SlowFactor)
	}
	if err := sleep(ctx, nominal); err != nil {
		return err
	}
	return c.waitWhileHung(ctx)
}

// waitWhileHung waits until Hang is reset or ctx ends.
func (c *Conditions) waitWhileHung(ctx context.Context) error {
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
