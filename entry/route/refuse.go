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
	// late is set if somebody could do the work, but not in time.
	late bool
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("retry after %s", r.after) }

// refuse returns an error with code Refused that carries a retry delay.
func refuse(service string, r refusal, detail string) error {
	return &fault.Error{
		Code:   fault.Refused,
		Step:   "route.choose",
		Peer:   service,
		Detail: detail,
		Err:    &r,
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

// Late tells whether err is a refusal of Choose for want of time only.
func Late(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.late
}
