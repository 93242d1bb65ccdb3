package core

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes that a caller can be told.
const (
	// OutcomeAnswered means that the whole answer was delivered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no non-idempotent stage started and nothing will
	// start later. The caller may ask again after Retry-After.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that only idempotent stages ran. The caller may ask again.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-idempotent stage may have run. The caller
	// asks for its outcome; the same idempotency key never runs it twice.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning is reported by a look-up of a request still in progress.
	OutcomeRunning Outcome = "running"
)
