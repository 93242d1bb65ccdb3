// Package latency derives the expected latency of a service from the quantiles that
// sidecars report: how a deadline is split over stages, when a hedge pays, and how long
// an upstream may be silent.
package latency

import "time"

// Estimate is the expected latency of one service. A zero duration means unknown.
type Estimate struct {
	// Wait is the expected time in an upstream's queue.
	Wait time.Duration
	// ServiceP50 and ServiceP95 run from dispatch to the complete result.
	ServiceP50, ServiceP95 time.Duration
	// FirstChunkP50 and FirstChunkP95 run from dispatch to the first chunk.
	FirstChunkP50, FirstChunkP95 time.Duration
	// ChunkGapP95 is the time between two chunks.
	ChunkGapP95 time.Duration
	// Reporters is the number of upstreams on whose reports the estimate is based.
	Reporters int
}

// WithDeclaredMedian fills in a declared median service time if none is known.
func (e Estimate) WithDeclaredMedian(median time.Duration) Estimate {
	if e.ServiceP50 > 0 {
		return e
	}
	e.ServiceP50 = median
	e.ServiceP95 = median * declaredSpread
	return e
}

// declaredSpread is the assumed ratio of the 95th percentile to the median for a service of
// which only the median is declared.
const declaredSpread = 2

// ForTokens returns the estimate for a result of at most count chunks, one per token. The
// quantiles of the service cover results of all lengths; the time to the first chunk and the
// gaps between count chunks may show that this one takes less. A count of zero is no bound.
func (e Estimate) ForTokens(count int) Estimate {
	if count <= 0 || e.FirstChunkP50 == 0 || e.ChunkGapP95 == 0 {
		return e
	}
	gaps := time.Duration(count-1) * e.ChunkGapP95
	e.ServiceP50 = min(e.ServiceP50, e.FirstChunkP50+gaps)
	e.ServiceP95 = min(e.ServiceP95, max(e.FirstChunkP50, e.FirstChunkP95)+gaps)
	return e
}

// median returns the median time that a stage takes, its queue included.
func (e Estimate) median() time.Duration { return e.Wait + e.ServiceP50 }

// spread returns how much longer than the median a slow call of the stage takes.
func (e Estimate) spread() time.Duration { return max(0, e.ServiceP95-e.ServiceP50) }
