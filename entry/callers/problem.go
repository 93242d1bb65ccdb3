package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"acaciawinch/core"
)

// problemType is the media type of RFC 9457 problem documents.
const problemType = "application/problem+json"

// Problem is a problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome tells what became of the request; see core.Outcome.
	Outcome   core.Outcome   `json:"outcome"`
	RequestID core.RequestID `json:"request_id,omitempty"`
	// Step is where the request was refused or given up.
	Step string `json:"step,omitempty"`
	// RetryAfterMS says when to ask again; the Retry-After header says the same
	// in whole seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Kinds of problems: the last part of a problem's type.
const (
	kindInvalid     = "invalid-request"
	kindNotFound    = "not-found"
	kindMethod      = "method-not-allowed"
	kindTooLarge    = "too-large"
	kindOverload    = "overload"
	kindLimit       = "workspace-limit"
	kindUnavailable = "unavailable"
	kindFailed      = "failed"
	kindDeadline    = "deadline"
	kindKeyReused   = "key-reused"
	kindUnknown     = "outcome-unknown"
)

// typePrefix begins the type of every problem.
const typePrefix = "urn:acaciawinch:problem:"

// refuse returns the problem of a request that reached no upstream.
func refuse(status int, kind, step, detail string) Problem {
	return Problem{
		Type:    typePrefix + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: core.OutcomeNotRun,
		Step:    step,
	}
}

// retryAfter sets when to ask again.
func (p Problem) retryAfter(d time.Duration) Problem {
	p.RetryAfterMS = max(d.Milliseconds(), 1)
	return p
}

// write sends the problem as the whole answer.
func (p Problem) write(w http.ResponseWriter) {
	p.headers(w.Header())
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may be gone
}

// headers sets the headers that go with the problem.
func (p Problem) headers(h http.Header) {
	h.Set("Content-Type", problemType)
	if p.RequestID != "" {
		h.Set(headerRequestID, string(p.RequestID))
	}
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / float64(time.Second.Milliseconds()))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
}
