// Package trace keeps traces of recent requests in memory: the decisions made about each
// request, so that its outcome can be explained.
package trace

import (
	"container/list"
	"sync"
	"time"

	"acaciawinch/core"
)

// Alternative is an upstream that was considered and not chosen.
type Alternative struct {
	Upstream core.UpstreamID `json:"upstream"`
	Reason   string          `json:"reason"`
}

// Decision is one decision made about a request.
type Decision struct {
	// AtUS is the time since the request's admission in microseconds.
	AtUS int64 `json:"at_us"`
	// Event and Name are the number and name of the log event of the decision.
	Event        int             `json:"event"`
	Name         string          `json:"name"`
	Stage        string          `json:"stage,omitempty"`
	Attempt      uint32          `json:"attempt,omitempty"`
	Upstream     core.UpstreamID `json:"upstream,omitempty"`
	Reason       string          `json:"reason"`
	Alternatives []Alternative   `json:"alternatives,omitempty"`
}

// Trace is the record of one request and its decisions.
type Trace struct {
	RequestID core.RequestID `json:"request_id"`
	Workspace string         `json:"workspace"`
	Pipeline  string         `json:"pipeline"`
	Revision  core.Revision  `json:"revision"`
	Outcome   core.Outcome   `json:"outcome"`
	// Step and Detail say at which step and why the request was refused or abandoned.
	Step   string `json:"step,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Chunks and Digest describe a complete response: its number of chunks and the digest
	// of its content.
	Chunks     int        `json:"chunks,omitempty"`
	Digest     string     `json:"digest,omitempty"`
	AdmittedAt time.Time  `json:"admitted_at"`
	DurationUS int64      `json:"duration_us,omitempty"`
	Decisions  []Decision `json:"decisions"`
}

// maxDecisions bounds the decisions kept for one request; further ones are dropped.
const maxDecisions = 200

// Ring keeps the newest traces, up to its capacity. It is safe for concurrent use.
type Ring struct {
	mu       sync.Mutex
	capacity int
	// order holds the traces as *Trace, the oldest first; byID holds their elements in it.
	order *list.List
	byID  map[core.RequestID]*list.Element
}

// NewRing returns a Ring that keeps at most capacity traces.
func NewRing(capacity int) *Ring {
	return &Ring{capacity: capacity, order: list.New(), byID: make(map[core.RequestID]*list.Element)}
}

// Begin adds the trace of an admitted request and sets its outcome to running. If the ring is full, the oldest
// trace is dropped.
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

// Add adds a decision to the trace of a request, unless that trace has been dropped.
func (r *Ring) Add(id core.RequestID, d Decision) {
	r.update(id, func(t *Trace) {
		if len(t.Decisions) < maxDecisions {
			t.Decisions = append(t.Decisions, d)
		}
	})
}

// End records in the trace of a request how it ended.
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

// End is how a request ended; the fields are those of Trace.
type End struct {
	Outcome  core.Outcome
	Step     string
	Detail   string
	Chunks   int
	Digest   string
	Duration time.Duration
}

// Get returns a copy of the trace of a request, and false if it is not kept.
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

// update applies change to the trace of a request while holding the lock.
func (r *Ring) update(id core.RequestID, change func(*Trace)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.byID[id]; ok {
		change(e.Value.(*Trace))
	}
}
