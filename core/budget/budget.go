// Package budget limits retries and hedges to a ratio of ordinary calls, so that
// overloaded upstreams don't get a multiple of their load.
package budget

import "time"

// Limits set how many extra calls a Budget allows.
type Limits struct {
	// Ratio is how many tokens each ordinary call adds; 0.02 allows two extra
	// calls in a hundred.
	Ratio float64
	// FloorPerSecond is how many tokens are added per second without any calls, so
	// that a process with few calls can retry at all.
	FloorPerSecond float64
	// Burst is the capacity of the bucket. A new Budget is full.
	Burst float64
}

// The default limits of an entry process. The floors are small because every process
// has its own budget: 340 entries with a floor of 0.02 allow 6.8 hedges a second in
// addition to the ratio.
var (
	DefaultRetry = Limits{Ratio: 0.10, FloorPerSecond: 0.2, Burst: 5}
	DefaultHedge = Limits{Ratio: 0.02, FloorPerSecond: 0.02, Burst: 2}
)

// Budget is a token bucket. It never allows more extra calls than
// Burst + Ratio × deposits + FloorPerSecond × seconds. It is not safe for
// concurrent use.
type Budget struct {
	limits Limits
	tokens float64
	last   time.Time
}

// New returns a full Budget that starts at now.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, tokens: limits.Burst, last: now}
}

// Deposit records one ordinary call.
func (b *Budget) Deposit(now time.Time) {
	b.advance(now)
	b.add(b.limits.Ratio)
}

// Withdraw takes one token for an extra call and returns true, or returns false if there is
// none.
func (b *Budget) Withdraw(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens at the time of the last call of Deposit or Withdraw.
func (b *Budget) Tokens() float64 { return b.tokens }

// advance adds the tokens for the time since the last call. A clock that goes back adds none.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(b.limits.FloorPerSecond * elapsed.Seconds())
}

// add adds tokens up to the capacity of the bucket.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.limits.Burst)
}
