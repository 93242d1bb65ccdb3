package silence

import (
	"cmp"
	"slices"
	"time"
)

// usualShare is the share of the sends that take at most the usual time. A percentile above the 90th would
// follow a few upstreams that are silent.
const usualShare = 0.9

// sample is an observation and its time.
type sample struct {
	Observation
	at time.Time
}

// series holds the last observations of one kind, oldest first.
type series struct {
	samples []sample
}

// add records an observation.
func (s *series) add(o Observation, now time.Time) {
	if len(s.samples) >= maxKept {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, sample{Observation: o, at: now})
}

// others returns the observations that are not too old, of all upstreams but one: a silent upstream must
// not raise its own limit.
func (s *series) others(upstream string, now time.Time) []sample {
	var list []sample
	for _, one := range s.samples {
		if one.Upstream != upstream && now.Sub(one.at) <= maxAge {
			list = append(list, one)
		}
	}
	return list
}

// usual returns the time within which a share of usualShare of the sends to other upstreams ended, or
// false if too few are known.
func (s *series) usual(upstream string, now time.Time) (time.Duration, bool) {
	list := s.others(upstream, now)
	if len(list) < minKnown {
		return 0, false
	}
	return percentile(list), true
}

// percentile returns the time within which a share of usualShare of the sends would have ended without
// the cuts. It is the product-limit estimate: a send that was cut counts up to its cut among those that
// have not ended. If too many were cut, it is the longest time seen, which is less than the percentile;
// later sends are then cut later.
func percentile(list []sample) time.Duration {
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.Took, b.Took) })
	notEnded := 1.0
	for i, one := range list {
		if one.Cut {
			continue
		}
		notEnded *= 1 - 1/float64(len(list)-i)
		if notEnded <= 1-usualShare {
			return one.Took
		}
	}
	return list[len(list)-1].Took
}

// isSlow reports whether the whole service is slow: of the last sends to other upstreams, more than maxSlowShare have
// reached a limit. Those that still wait count once they have. A send that was cut after half of the limit counts too,
// since it was given up at an earlier limit, or would have taken longer.
func (s *series) isSlow(send Send, limit time.Duration, now time.Time) bool {
	slow := 0
	for _, one := range send.Waiting {
		if one.Upstream != send.Upstream && one.Took >= limit {
			slow++
		}
	}
	ended := s.others(send.Upstream, now)
	ended = ended[max(0, len(ended)-max(0, recentCount-slow)):]
	count := slow + len(ended)
	for _, one := range ended {
		if one.Took >= limit || one.Cut && one.Took >= limit/2 {
			slow++
		}
	}
	return float64(slow) > maxSlowShare*float64(count)
}
