package herd

import (
	"slices"
	"time"
)

// counts tells whether a call arrived after the warm-up.
func (s *simulation) counts(r request) bool { return r.at.Sub(s.start) >= warmUp }

// wait records how long a call has waited.
func (s *simulation) wait(r request) {
	if !s.counts(r) {
		return
	}
	s.waits = append(s.waits, s.now.Sub(r.at))
	if r.upstream == 0 {
		s.first++
	}
}

// sample records the most work held over the mean.
func (s *simulation) sample() {
	most, total := 0, 0
	for _, server := range s.servers {
		most = max(most, server.held())
		total += server.held()
	}
	s.peaks = append(s.peaks, float64(most*Upstreams)/float64(max(1, total)))
}

// draw returns an exponentially distributed time.
func (s *simulation) draw(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// figures sums up. Calls that still wait count with the time they have waited.
func (s *simulation) figures(length time.Duration) Figures {
	for _, server := range s.servers {
		for _, r := range server.queue {
			s.wait(r)
		}
	}
	slices.Sort(s.waits)
	probes := 0
	for _, e := range s.entries {
		probes += e.probes
	}
	peaks := 0.0
	for _, peak := range s.peaks {
		peaks += peak
	}
	calls := float64(len(s.waits))
	return Figures{
		MaxOverMean: peaks / float64(len(s.peaks)),
		WaitP50:     s.waits[len(s.waits)/2],
		WaitP99:     s.waits[len(s.waits)*99/100],
		Probes:      float64(probes) / (perSecond * length.Seconds()),
		First:       float64(s.first) / calls,
		Cached:      float64(s.hits) / calls,
	}
}
