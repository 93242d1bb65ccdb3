package latency

import "time"

// Bounds of hedging and of silence.
const (
	// minHedgeDelay keeps a hedge from racing a call that is merely not yet
	// answered on a busy host.
	minHedgeDelay = 20 * time.Millisecond
	// silenceFactor times the 95th percentile is no longer a slow call.
	silenceFactor = 4
	// minFirstBound and minGapBound are the shortest silences that count.
	minFirstBound = 250 * time.Millisecond
	minGapBound   = 250 * time.Millisecond
	// unknownBound is used while nothing has been reported.
	unknownBound = 2 * time.Second
)

// HedgeDelay returns how long after dispatch a second attempt pays: when 95 of
// 100 calls would have shown their first chunk. It returns false if nothing is
// known yet, or if a hedge started then can't finish within remaining.
func HedgeDelay(e Estimate, remaining time.Duration) (time.Duration, bool) {
	usual := e.FirstP95
	if usual == 0 {
		usual = e.ServiceP95
	}
	if usual == 0 {
		return 0, false
	}
	delay := max(minHedgeDelay, e.Wait+usual)
	return delay, delay+e.ServiceP50 <= remaining
}

// FirstBound returns the longest silence between dispatch and the first chunk
// after which the upstream counts as silent. Time in the queue is not silence:
// the caller starts to count when the side says that the attempt has started.
func FirstBound(e Estimate) time.Duration {
	usual := e.FirstP95
	if usual == 0 {
		usual = e.ServiceP95
	}
	return silence(usual, minFirstBound)
}

// GapBound returns the longest silence between two chunks after which the
// upstream counts as silent in the middle of its answer.
func GapBound(e Estimate) time.Duration {
	return silence(e.GapP95, minGapBound)
}

// silence returns the bound that follows from the usual time.
func silence(usual, least time.Duration) time.Duration {
	if usual == 0 {
		return unknownBound
	}
	return max(least, silenceFactor*usual)
}
