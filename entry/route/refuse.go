package route

import (
	"errors"
	"fmt"
	"time"

	"acaciawinch/core/fault"
)

// refusal is the cause of an error that says when to come back.
type refusal struct {
	after time.Duration
	// silent is set if nobody answered.
	silent bool
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("retry after %s", r.after) }

// refuse returns an error with code Refused that carries a retry delay.
func refuse(service string, after time.Duration, silent bool, detail string) error {
	return &fault.Error{
		Code:   fault.Refused,
		Step:   "route.choose",
		Peer:   service,
		Detail: detail,
		Err:    &refusal{after: after, silent: silent},
	}
}

// RetryAfter returns the delay that an error of Choose carries, or zero.
func RetryAfter(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.after
	}
	return 0
}

// Silent tells whether err is a refusal of Choose because no upstream answered,
// rather than because none was fit. Asking again at once may help.
func Silent(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.silent
}
