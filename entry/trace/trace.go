// Package trace keeps the decisions of recent requests for explanations.
package trace

import (
	"container/list"
	"sync"
	"time"

	"acaciawinch/core"
)

// Alternative is one upstream that was weighed and not taken.
type Alternative struct {
	Upstream core.UpstreamID `json:"upstream"`
	Reason   string          `json:"reason"`
}

// Decision is one decision about a request.
type Decision struct {
	// AtUS is the time since admission in microseconds.
	AtUS int64 `json:"at_us"`
	// Event and Name are the number and name of the log event.
	Event        int             `json:"event"`
	Name         string          `json:"name"`
	Stage        string          `json:"stage,omitempty"`
	Attempt      uint32          `json:"attempt,omitempty"`
	Upstream     core.UpstreamID `json:"upstream,omitempty"`
	Reason       string          `json:"reason"`
	Alternatives []Alternative   `json:"alternatives,omitempty"`
}

// Trace is what is known of one request.
type Trace struct {
	RequestID core.RequestID `json:"request_id"`
	Workspace string         `json:"workspace"`
	Pipeline  string         `json:"pipeline"`
	Revision  core.Revision  `json:"revision"`
	Outcome   core.Outcome   `json:"outcome"`
	// Step and Detail say where and why a request was given up.
	Step   string `json:"step,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Chunks and Digest describe a whole answer.
	Chunks     int        `json:"chunks,omitempty"`
	Digest     string     `json:"digest,omitempty"`
	AdmittedAt time.Time  `json:"admitted_at"`
	DurationUS int64      `json:"duration_us,omitempty"`
	Decisions  []Decision `json:"decisions"`
}

// maxDecisions bounds the decisions kept of one request.
const maxDecisions = 200

// Ring keeps the newest traces, at most its capacity. It may be used by many
// goroutines.
type Ring struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	byID     map[core.RequestID]*list.Element
}

// NewRing returns a Ring that keeps at most capacity traces.
func NewRing(capacity int) *Ring {
	return &Ring{capacity: capacity, order: list.New(), byID: make(map[core.RequestID]*list.Element)}
}

// Begin adds a trace whose outcome is running. The oldest is dropped if the
// ring is full.
func (r *Ring) Begin(t Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Outcome = core.OutcomeRunning
	r.byID[t.RequestID] = r.order.PushBack(&t)
	if r.order.Len() > r.capacity {
		oldest := r.order.Remove(r.order.Front()).(*Trace)
		delete(r.byID, oldest.RequestID)
	}
}

// Add adds a decision to the trace of id, if it is still kept.
func (r *Ring) Add(id core.RequestID, d Decision) {
	r.update(id, func(t *Trace) {
		if len(t.Decisions) < maxDecisions {
			t.Decisions = append(t.Decisions, d)
		}
	})
}

// End records how the request ended.
func (r *Ring) End(id core.RequestID, end End) {
	r.update(id, func(t *Trace) {
		t.Outcome = end.Outcome
		t.Step = end.Step
		t.Detail = end.Detail
		t.Chunks = end.Chunks
		t.Digest = end.Digest
		t.DurationUS = end.Duration.Microseconds()
	})
}

// End is how a request ended.
type End struct {
	Outcome  core.Outcome
	Step     string
	Detail   string
	Chunks   int
	Digest   string
	Duration time.Duration
}

// Get returns a copy of the trace of id.
func (r *Ring) Get(id core.RequestID) (Trace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byID[id]
	if !ok {
		return Trace{}, false
	}
	t := *e.Value.(*Trace)
	t.Decisions = append([]Decision(nil), t.Decisions...)
	return t, true
}

// update applies change to the trace of id under the lock.
func (r *Ring) update(id core.RequestID, change func(*Trace)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.byID[id]; ok {
		change(e.Value.(*Trace))
	}
}
