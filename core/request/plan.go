package request

import (
	"time"

	"acaciawinch/core/latency"
)

// Stage describes one stage of the request's pipeline.
type Stage struct {
	Name    string
	Service string
	// NonIdempotent marks a stage that must run at most once.
	NonIdempotent bool
	// Resumable marks a stage whose upstreams can continue after the chunks already
	// received.
	Resumable bool
	// Declared is the median service time from the template, used until one is
	// measured.
	Declared time.Duration
}

// Plan describes a request. It is immutable.
type Plan struct {
	Stages []Stage
	// KeyGenerated is set if the entry generated the idempotency key itself. No other
	// request can use the key, so an unused claim need not be released.
	KeyGenerated bool
	// Deadline is the time allowed, counted from Start.
	Deadline time.Duration
}

// Budget bounds the extra calls of one service; core/budget.Budget implements it.
type Budget interface {
	// Deposit records one ordinary call.
	Deposit(now time.Time)
	// Withdraw takes one extra call from the budget, or returns false if it is
	// exhausted.
	Withdraw(now time.Time) bool
}

// Services is the entry's view of the services, shared by all requests.
type Services interface {
	// Estimate returns the latency estimate of a service.
	Estimate(service string) latency.Estimate
	// RetryBudget and HedgeBudget bound the extra calls of a service.
	RetryBudget(service string) Budget
	HedgeBudget(service string) Budget
}

// Rules holds the limits and timeouts of a machine. The zero value is not usable;
// see DefaultRules.
type Rules struct {
	// MaxAttempts bounds the dispatched attempts of a stage, hedges included.
	MaxAttempts int
	// MaxRefusals bounds how often a stage chooses another upstream after a refusal.
	MaxRefusals int
	// MaxClaimRounds bounds how often a stage's claim is opened.
	MaxClaimRounds int
	// PingAfter is how long a sidecar may be silent before it is pinged; each
	// response doubles the time, up to PingMax.
	PingAfter time.Duration
	PingMax   time.Duration
	// SettleTimeout is the longest wait for proof that cancelled attempts will not
	// start, before a request that was given up gets its answer.
	SettleTimeout time.Duration
	// SettleMargin is how long before the deadline a claimed attempt that has not
	// started is cancelled.
	SettleMargin time.Duration
	// FollowGrace is how long after the deadline a claimed attempt is followed, so
	// that its result is recorded for a retry with the same idempotency key.
	FollowGrace time.Duration
	// ClaimedSilenceTimeout is the longest silence of the sidecar of a claimed attempt
	// before the outcome is reported as unknown.
	ClaimedSilenceTimeout time.Duration
	// ResolveTries and ResolveBackoff bound the queries to a sidecar that does not
	// report the outcome of a claimed attempt.
	ResolveTries   int
	ResolveBackoff time.Duration
	// ChooseTries and ChooseBackoff bound the retries of a choice while no upstream
	// of a service responds.
	ChooseTries   int
	ChooseBackoff time.Duration
	// MaxTrialWait is the longest RetryAfter of a refusal for lack of time with which
	// the stage is still tried once.
	MaxTrialWait time.Duration
	// CheckShare is the part of a later stage's allowance in which that stage must be
	// able to finish when it is checked in advance. The remainder covers the load that
	// other requests add in the meantime.
	CheckShare float64
	// KeepSilentFor is how long a silent attempt is kept when no retry is allowed.
	KeepSilentFor time.Duration
	// MaxPending bounds the chunks that an attempt buffers out of order.
	MaxPending int
	// RetryAfterFailure is Answer.RetryAfter after failures.
	RetryAfterFailure time.Duration
}

// DefaultRules returns the limits and timeouts used in production.
func DefaultRules() Rules {
	return Rules{
		MaxAttempts:           4,
		MaxRefusals:           3,
		MaxClaimRounds:        3,
		PingAfter:             150 * time.Millisecond,
		PingMax:               time.Second,
		SettleTimeout:         100 * time.Millisecond,
		SettleMargin:          60 * time.Millisecond,
		FollowGrace:           time.Second,
		ClaimedSilenceTimeout: 2 * time.Second,
		ResolveTries:          5,
		ResolveBackoff:        50 * time.Millisecond,
		ChooseTries:           3,
		ChooseBackoff:         40 * time.Millisecond,
		MaxTrialWait:          100 * time.Millisecond,
		CheckShare:            0.9,
		KeepSilentFor:         250 * time.Millisecond,
		MaxPending:            64,
		RetryAfterFailure:     time.Second,
	}
}
