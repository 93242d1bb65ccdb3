package worker

import (
	"net/http"
	"strconv"
	"time"
)

// Refusal is a request that a worker turned away.
type Refusal struct {
	// ID is that of the request, empty for a stage call.
	ID string
	At time.Time
	// RetryAfter is for how long the worker asked for nothing more, 0 if it did not.
	RetryAfter time.Duration
}

// Leave makes each answer from now on say that the worker leaves. It serves on.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Stay ends Leave.
func (w *Worker) Stay() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = false
}

// isLeaving tells whether answers say that the worker leaves.
func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Refusals returns what the worker has turned away so far.
func (w *Worker) Refusals() []Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Refusal(nil), w.refused...)
}

// reject turns a request away.
func (w *Worker) reject(out http.ResponseWriter, id string) {
	w.mu.Lock()
	after := w.faults.RetryAfter
	w.refused = append(w.refused, Refusal{ID: id, At: time.Now(), RetryAfter: after})
	w.mu.Unlock()
	out.Header().Set("X-Not-Executed", "1")
	if after > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	out.WriteHeader(http.StatusServiceUnavailable)
}
