package worker

import (
	"net/http"
	"strconv"
	"time"
)

// Rejection is a request or stage call that a worker rejected before it ran.
type Rejection struct {
	// ID is the id of the request; empty for a stage call.
	ID string
	At time.Time
	// RetryAfter is the backoff that the worker asked for; 0 for none.
	RetryAfter time.Duration
}

// Leave makes the responses from now on announce that the worker leaves. The worker continues to serve.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// StopLeaving ends the announcements that Leave started.
func (w *Worker) StopLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = false
}

// isLeaving reports whether responses announce that the worker leaves.
func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Rejections returns the rejections so far.
func (w *Worker) Rejections() []Rejection {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Rejection(nil), w.rejections...)
}

// reject rejects a request before it runs.
func (w *Worker) reject(out http.ResponseWriter, id string) {
	w.mu.Lock()
	after := w.faults.RetryAfter
	w.rejections = append(w.rejections, Rejection{ID: id, At: time.Now(), RetryAfter: after})
	w.mu.Unlock()
	out.Header().Set("X-Not-Executed", "1")
	if after > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	out.WriteHeader(http.StatusServiceUnavailable)
}
