package gate

import (
	"slices"
	"time"
)

// Sizes of a window and the maximum age of its samples. The median uses few samples,
// so that at three calls a second a change of speed shows within about two seconds;
// the high quantile needs more.
const (
	medianSamples = 11
	windowSamples = 64
	maxSampleAge  = 30 * time.Second
)

// The quantiles that are reported.
const (
	median       = 0.50
	highQuantile = 0.95
)

// sample is a measured value and the time of its measurement.
type sample struct {
	at    time.Duration
	value time.Duration
}

// window holds the most recent samples of one kind, oldest first.
type window struct {
	samples []sample
}

// add appends a sample and removes the oldest one if the window is full.
func (w *window) add(now, value time.Duration) {
	if len(w.samples) == windowSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, sample{at: now, value: value})
}

// recent returns the values of the last n samples that are not older than
// maxSampleAge.
func (w *window) recent(now time.Duration, n int) []time.Duration {
	from := max(0, len(w.samples)-n)
	values := make([]time.Duration, 0, n)
	for _, s := range w.samples[from:] {
		if now-s.at <= maxSampleAge {
			values = append(values, s.value)
		}
	}
	return values
}

// p50 returns the median of the latest samples, or zero without samples. The argument
// pending holds the elapsed times of unfinished measurements. Those above the median
// already count as samples, since their final values can only be higher, so a straggler
// shows before its first slow response.
func (w *window) p50(now time.Duration, pending []time.Duration) time.Duration {
	return w.quantile(now, medianSamples, median, pending)
}

// p95 returns the 95th percentile of the latest samples, or zero without samples.
// Pending is used as in p50.
func (w *window) p95(now time.Duration, pending []time.Duration) time.Duration {
	return w.quantile(now, windowSamples, highQuantile, pending)
}

// quantile returns the q-quantile of the last n samples and of the pending
// measurements above their q-quantile.
func (w *window) quantile(now time.Duration, n int, q float64, pending []time.Duration) time.Duration {
	values := w.recent(now, n)
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	base := nearestRank(values, q)
	above := 0
	for _, value := range pending {
		if value > base {
			values = append(values, value)
			above++
		}
	}
	if above == 0 {
		return base
	}
	slices.Sort(values)
	return nearestRank(values, q)
}

// nearestRank returns the q-quantile of sorted values by nearest rank.
func nearestRank(sorted []time.Duration, q float64) time.Duration {
	rank := int(q * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
