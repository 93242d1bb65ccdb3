package route

import (
	"sync"
	"time"

	"acaciawinch/core/routing"
)

// probeTimer watches over the timeout of one probe. It is safe for concurrent use.
type probeTimer struct {
	// onTimeout is called once if the probe gets no response in time, with mu held.
	onTimeout func()
	timer     *time.Timer

	mu sync.Mutex
	// done is set when the probe has ended or its timeout has passed.
	done bool
}

// newTimer starts the timer of a probe that begins now.
func (r *Router) newTimer(upstream routing.Upstream) *probeTimer {
	t := &probeTimer{onTimeout: func() { r.recordTimeout(upstream.ID) }}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(r.timeout(upstream), t.expire)
	return t
}

// expire records that the timeout has passed, unless the probe has ended. If the timeout came
// first, the upstream is suspected when expire returns.
func (t *probeTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done {
		t.done = true
		t.onTimeout()
	}
}

// finish records that the probe has ended and stops the timer.
func (t *probeTimer) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.timer.Stop()
}
