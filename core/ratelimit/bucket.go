package ratelimit

import "time"

// bucketTime is the time for which a bucket collects tokens beyond the first: a timer that fires late loses
// none of them.
const bucketTime = 50 * time.Millisecond

// bucket is a token bucket, which starts empty.
type bucket struct {
	tokens float64
	at     time.Duration
}

// size returns the number of tokens that a bucket holds at most.
func size(perSecond float64) float64 { return 1 + perSecond*bucketTime.Seconds() }

// fill adds the tokens that have accrued at a rate until now.
func (b *bucket) fill(now time.Duration, perSecond float64) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.tokens+perSecond*(now-b.at).Seconds(), max(b.tokens, size(perSecond)))
	b.at = now
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// putBack returns a token that was not used.
func (b *bucket) putBack(perSecond float64) { b.tokens = min(b.tokens+1, size(perSecond)) }

// untilNext returns the time until there is a token.
func (b *bucket) untilNext(perSecond float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if perSecond <= 0 {
		return time.Hour
	}
	return timeFor(1-b.tokens, perSecond)
}
