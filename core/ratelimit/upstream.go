package ratelimit

import "time"

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID          string
	Incarnation int64
}

// Named is what a response says of its upstream's limit.
type Named struct {
	// Limited is set if the response names a limit.
	Limited bool
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// minRate is the least rate of permits in requests a second, in place of a lower limit or of 0: an upstream
// that gets nothing can't say that its limit has ended.
const minRate = 0.1

// Rate returns the rate of permits for a limit, in requests a second.
func Rate(perSecond float64) float64 { return max(perSecond, minRate) }

// Entry is a known limit of an upstream.
type Entry struct {
	Upstream Upstream
	Named    Named
	// Version is the number of the change that led to this state, counted by the coordinator; 0 if
	// no coordinator has reported it.
	Version uint64
}

// timeFor returns the time in which a number of tokens accrues at a rate.
func timeFor(tokens, perSecond float64) time.Duration {
	return time.Duration(tokens / perSecond * float64(time.Second))
}
