package pace

import (
	"slices"
	"time"
)

const (
	// sampleTTL is how long samples of the fourth figure and of pauses count. Machines are slow for less than a
	// second at a time, every few seconds.
	sampleTTL = 30 * time.Second
	// maxSamples bounds the samples kept: the 95th percentile of 256 samples rests on 12 values.
	maxSamples = 256
	// minSamples is how many samples a percentile needs. Some gateways see only a stream in three seconds.
	minSamples = 10
	// percentileRank is the rank of the percentile that stands for the usual worst value.
	percentileRank = 0.95
)

// sample is one value and when it was observed.
type sample struct {
	value float64
	at    time.Time
}

// samples holds the newest values of one kind.
type samples struct {
	ring []sample
	next int
}

// add adds a value in place of the oldest one.
func (s *samples) add(value float64, now time.Time) {
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, sample{value, now})
		return
	}
	s.ring[s.next] = sample{value, now}
	s.next = (s.next + 1) % maxSamples
}

// fresh returns the number of fresh values.
func (s *samples) fresh(now time.Time) int {
	count := 0
	for _, one := range s.ring {
		if now.Sub(one.at) <= sampleTTL {
			count++
		}
	}
	return count
}

// percentile returns the 95th percentile of the fresh values, and false if there are too few.
func (s *samples) percentile(now time.Time) (float64, bool) {
	var fresh []float64
	for _, one := range s.ring {
		if now.Sub(one.at) <= sampleTTL {
			fresh = append(fresh, one.value)
		}
	}
	if len(fresh) < minSamples {
		return 0, false
	}
	slices.Sort(fresh)
	return fresh[int(percentileRank*float64(len(fresh)))], true
}
