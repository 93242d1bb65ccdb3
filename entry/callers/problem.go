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

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is the outcome of the request; see core.Outcome.
	Outcome   core.Outcome   `json:"outcome"`
	RequestID core.RequestID `json:"request_id,omitempty"`
	// Step is the step at which the request was refused or abandoned.
	Step string `json:"step,omitempty"`
	// RetryAfterMS is the delay before a retry. The Retry-After header carries it in
	// whole seconds, rounded up.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Kinds of problems. The type of a problem is typePrefix followed by its kind.
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

// typePrefix is the prefix of every problem type.
const typePrefix = "urn:acaciawinch:problem:"

// newProblem returns a problem with the outcome not_run, that of a request that reached no
// upstream.
func newProblem(status int, kind, step, detail string) Problem {
	return Problem{
		Type:    typePrefix + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: core.OutcomeNotRun,
		Step:    step,
	}
}

// withRetryAfter returns p with the retry delay d, of at least 1 ms.
func (p Problem) withRetryAfter(d time.Duration) Problem {
	p.RetryAfterMS = max(d.Milliseconds(), 1)
	return p
}

// write sends the problem as the complete response.
func (p Problem) write(w http.ResponseWriter) {
	p.setHeaders(w.Header())
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
}

// setHeaders sets the response headers for the problem.
func (p Problem) setHeaders(h http.Header) {
	h.Set("Content-Type", problemType)
	if p.RequestID != "" {
		h.Set(headerRequestID, string(p.RequestID))
	}
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / float64(time.Second.Milliseconds()))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
}
