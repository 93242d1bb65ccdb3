// Package budget bounds retries and hedges by a ratio of ordinary calls, so that
// a brown-out of the upstreams cannot multiply its own load.
package budget

import "time"

// Limits set how many extra calls a Budget allows.
type Limits struct {
	// Ratio is how many tokens each ordinary call adds; 0.02 allows two extra
	// calls in a hundred.
	Ratio float64
	// FloorPerSecond is how many tokens time alone adds, so that an entry with
	// few calls may retry at all.
	FloorPerSecond float64
	// Burst is the most tokens that are kept, and what a new Budget holds.
	Burst float64
}

// Limits that an entry uses unless its settings say otherwise. The floors are
// small because every entry has its own: 340 entries with a floor of 0.02 allow
// 6.8 hedges a second beside the ratio.
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

// New returns a full Budget whose time begins at now.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, tokens: limits.Burst, last: now}
}

// Deposit records one ordinary call.
func (b *Budget) Deposit(now time.Time) {
	b.advance(now)
	b.add(b.limits.Ratio)
}

// Withdraw takes one token for an extra call, or returns false and takes none.
func (b *Budget) Withdraw(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many extra calls are allowed at the last recorded time.
func (b *Budget) Tokens() float64 { return b.tokens }

// advance adds what time has brought. A clock that goes back adds nothing.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(b.limits.FloorPerSecond * elapsed.Seconds())
}

// add puts tokens into the bucket up to its burst.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.limits.Burst)
}
