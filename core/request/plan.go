package request

import (
	"time"

	"acaciawinch/core/latency"
)

// Stage is one stage of the request's pipeline, as the machine needs it.
type Stage struct {
	Name    string
	Service string
	// NonIdempotent marks a stage that must run at most once.
	NonIdempotent bool
	// Resumable marks a stage whose upstreams go on behind the chunks at hand.
	Resumable bool
	// Declared is the template's median service time, used until one is measured.
	Declared time.Duration
}

// Plan is what a request asks for. It doesn't change.
type Plan struct {
	Stages []Stage
	// Minted is set if the entry made the idempotency key itself. Nobody else can
	// ask with it, so an unused claim need not be released.
	Minted bool
	// Deadline is the time allowed from the start.
	Deadline time.Duration
}

// Budget bounds extra calls of one service; core/budget.Budget is one.
type Budget interface {
	// Deposit records one ordinary call.
	Deposit(now time.Time)
	// Withdraw takes one extra call, or returns false.
	Withdraw(now time.Time) bool
}

// Knowledge is what the entry knows of services, shared by all requests.
type Knowledge interface {
	// Estimate returns what is expected of a service.
	Estimate(service string) latency.Estimate
	// RetryBudget and HedgeBudget bound the extra calls of a service.
	RetryBudget(service string) Budget
	HedgeBudget(service string) Budget
}

// Rules are the bounds of a machine. The zero value is not usable; see
// DefaultRules.
type Rules struct {
	// MaxAttempts bounds the dispatched attempts of a stage, hedges included.
	MaxAttempts int
	// MaxRefusals bounds how often a stage goes elsewhere after a refusal.
	MaxRefusals int
	// MaxClaimRounds bounds how often a stage's claim is opened again.
	MaxClaimRounds int
	// PingAfter is how long a side may be silent before it is asked whether it
	// lives; each answer doubles the time, up to PingMax.
	PingAfter time.Duration
	PingMax   time.Duration
	// SettleBound is the longest wait for proof that cancelled attempts will not
	// start, before a request that was given up gets its answer.
	SettleBound time.Duration
	// SettleMargin is how long before the deadline a claimed attempt that has not
	// started is cancelled.
	SettleMargin time.Duration
	// FollowGrace is how long after the deadline a claimed attempt is followed,
	// so that its result is recorded for the next one who asks with the key.
	FollowGrace time.Duration
	// ClaimedPatience is the longest silence of the side of a claimed attempt
	// before the outcome is told to be unknown.
	ClaimedPatience time.Duration
	// ResolveTries and ResolveBackoff bound the questions to a side that does not
	// answer what became of a claimed attempt.
	ResolveTries   int
	ResolveBackoff time.Duration
	// ChooseTries and ChooseBackoff bound the repeated choices while no upstream
	// of a service answers.
	ChooseTries   int
	ChooseBackoff time.Duration
	// TrialWait is the longest wait that a refusal for want of time may tell of for
	// the stage to be tried all the same.
	TrialWait time.Duration
	// CheckShare is the part of the time that would be left for a later stage in
	// which it must be makeable already when the request is admitted. The rest
	// makes up for what other requests bring in between.
	CheckShare float64
	// StayFor is how long a silent attempt is kept when the retry budget is empty.
	StayFor time.Duration
	// MaxPending bounds the chunks held out of order.
	MaxPending int
	// RetryAfterFailure is what a caller is told after failures.
	RetryAfterFailure time.Duration
}

// DefaultRules returns the bounds used in production.
func DefaultRules() Rules {
	return Rules{
		MaxAttempts:       4,
		MaxRefusals:       3,
		MaxClaimRounds:    3,
		PingAfter:         150 * time.Millisecond,
		PingMax:           time.Second,
		SettleBound:       100 * time.Millisecond,
		SettleMargin:      60 * time.Millisecond,
		FollowGrace:       time.Second,
		ClaimedPatience:   2 * time.Second,
		ResolveTries:      5,
		ResolveBackoff:    50 * time.Millisecond,
		ChooseTries:       3,
		ChooseBackoff:     40 * time.Millisecond,
		TrialWait:         100 * time.Millisecond,
		CheckShare:        0.9,
		StayFor:           250 * time.Millisecond,
		MaxPending:        64,
		RetryAfterFailure: time.Second,
	}
}
