package route

import (
	"context"
	"sync"
	"time"

	"acaciawinch/core/routing"
)

// probeTimer watches over the timeout of one probe. It is safe for concurrent use.
type probeTimer struct {
	// onTimeout is called once if the probe gets no response in time, with mu held.
	onTimeout func()
	// begun is closed when the timeout begins to run.
	begun chan struct{}

	mu sync.Mutex
	// timer is nil until the timeout begins to run.
	timer *time.Timer
	// done is set when the probe has ended or its timeout has passed.
	done bool
}

// newTimer returns the timer of a probe that will be sent to an upstream.
func (r *Router) newTimer(upstream routing.Upstream) *probeTimer {
	return &probeTimer{onTimeout: func() { r.recordTimeout(upstream.ID) }, begun: make(chan struct{})}
}

// begin starts the timeout. It is called right before the probe is sent, so that a busy host on which
// the goroutine of the probe runs late does not take its upstream for silent.
func (t *probeTimer) begin(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
	close(t.begun)
}

// awaitBegin waits until the timeout has begun to run, or ctx ends.
func (t *probeTimer) awaitBegin(ctx context.Context) {
	select {
	case <-t.begun:
	case <-ctx.Done():
	}
}

// expire records that the timeout has passed, unless the probe has ended or was not sent. If the
// timeout came first, the upstream is suspected when expire returns.
func (t *probeTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done && t.timer != nil {
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
