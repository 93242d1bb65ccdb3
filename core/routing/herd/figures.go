package herd

import (
	"slices"
	"time"
)

// afterWarmUp reports whether a call arrived after the warm-up.
func (s *simulation) afterWarmUp(call callEvent) bool { return call.at.Sub(s.start) >= warmUp }

// recordWait records how long a call has waited.
func (s *simulation) recordWait(call callEvent) {
	if !s.afterWarmUp(call) {
		return
	}
	s.waits = append(s.waits, s.now.Sub(call.at))
	if call.upstream == 0 {
		s.firstCount++
	}
}

// recordImbalance records the ratio of the most pending work of an upstream to the mean.
func (s *simulation) recordImbalance() {
	most, total := 0, 0
	for _, server := range s.servers {
		most = max(most, server.pending())
		total += server.pending()
	}
	s.imbalances = append(s.imbalances, float64(most*Upstreams)/float64(max(1, total)))
}

// exponential returns a random time with an exponential distribution.
func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// results summarises the simulation. Calls that are still queued count with the time they
// have waited so far.
func (s *simulation) results(length time.Duration) Results {
	for _, server := range s.servers {
		for _, call := range server.queue {
			s.recordWait(call)
		}
	}
	slices.Sort(s.waits)
	probes := 0
	for _, e := range s.entries {
		probes += e.probes
	}
	sum := 0.0
	for _, ratio := range s.imbalances {
		sum += ratio
	}
	calls := float64(len(s.waits))
	return Results{
		MaxOverMean: sum / float64(len(s.imbalances)),
		WaitP50:     s.waits[len(s.waits)/2],
		WaitP99:     s.waits[len(s.waits)*99/100],
		Probes:      float64(probes) / (requestsPerSecond * length.Seconds()),
		First:       float64(s.firstCount) / calls,
		Cached:      float64(s.cacheHits) / calls,
	}
}
