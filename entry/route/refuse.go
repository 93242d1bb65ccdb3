package route

import (
	"errors"
	"fmt"
	"time"

	"acaciawinch/core/fault"
)

// refusal is the cause of an error of Choose with the code Refused. It carries the retry
// delay.
type refusal struct {
	retryAfter time.Duration
	// tooLate is set if an upstream is able to run the stage, but not in time.
	tooLate bool
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("retry after %s", r.retryAfter) }

// refuse returns an error with the code Refused and r as its cause.
func refuse(service string, r refusal, detail string) error {
	return &fault.Error{
		Code:   fault.Refused,
		Step:   "route.choose",
		Peer:   service,
		Detail: detail,
		Err:    &r,
	}
}

// RetryAfter returns the retry delay of an error of Choose, zero if it has none.
func RetryAfter(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.retryAfter
	}
	return 0
}

// TooLate reports whether err is a refusal of Choose only because no upstream would
// finish in time.
func TooLate(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.tooLate
}
