package latency

import "time"

// Constants of the hedge delay and of the silence bounds.
const (
	// minHedgeDelay keeps a call from being hedged only because the host is busy for a
	// moment.
	minHedgeDelay = 20 * time.Millisecond
	// silenceFactor is the multiple of the 95th percentile above which a call counts as
	// silent instead of slow.
	silenceFactor = 4
	// minFirstChunkTimeout and minChunkGapTimeout are the least silence bounds.
	minFirstChunkTimeout = 250 * time.Millisecond
	minChunkGapTimeout   = 250 * time.Millisecond
	// unknownBound is the silence bound while nothing has been reported.
	unknownBound = 2 * time.Second
)

// HedgeDelay returns how long after dispatch a hedge, which is a second attempt in parallel,
// is worthwhile: when 95 of 100 calls would have returned their first chunk. It returns false
// if no quantile is known yet, or if a hedge that starts then cannot finish within remaining.
func HedgeDelay(e Estimate, remaining time.Duration) (time.Duration, bool) {
	usual := e.FirstChunkP95
	if usual == 0 {
		usual = e.ServiceP95
	}
	if usual == 0 {
		return 0, false
	}
	delay := max(minHedgeDelay, e.Wait+usual)
	return delay, delay+e.ServiceP50 <= remaining
}

// FirstChunkTimeout returns the longest silence allowed between dispatch and the first
// chunk, after which the upstream counts as silent. Time in the queue is not silence: the
// caller starts to count when the sidecar reports that the attempt has started.
func FirstChunkTimeout(e Estimate) time.Duration {
	usual := e.FirstChunkP95
	if usual == 0 {
		usual = e.ServiceP95
	}
	return silenceBound(usual, minFirstChunkTimeout)
}

// ChunkGapTimeout returns the longest silence allowed between two chunks, after which the
// upstream counts as silent during its response.
func ChunkGapTimeout(e Estimate) time.Duration {
	return silenceBound(e.ChunkGapP95, minChunkGapTimeout)
}

// silenceBound returns the silence bound for a usual time, zero if that is unknown. The bound
// is never below least.
func silenceBound(usual, least time.Duration) time.Duration {
	if usual == 0 {
		return unknownBound
	}
	return max(least, silenceFactor*usual)
}
