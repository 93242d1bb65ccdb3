package route

import (
	"sync"
	"time"

	"acaciawinch/core/routing"
)

// watch is the watch over one probe's timeout. It may be used by many goroutines.
type watch struct {
	// late is called once if the probe is not answered in time.
	late  func()
	timer *time.Timer

	mu sync.Mutex
	// over is set once the probe has ended or its timeout has passed.
	over bool
}

// watch returns a watch over the timeout of a probe that begins now.
func (r *Router) watch(upstream routing.Upstream) *watch {
	w := &watch{late: func() { r.late(upstream.ID) }}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.timeout(upstream), w.expire)
	return w
}

// expire keeps that the timeout has passed, unless the probe has ended. When it returns the
// upstream is suspected.
func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.over = true
		w.late()
	}
}

// end keeps that the probe has ended.
func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}
