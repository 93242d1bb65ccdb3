package gate

import (
	"slices"
	"time"
)

// How many samples a window holds, and for how long. The median comes from few
// samples, so that at three calls a second a change of speed shows in about two
// seconds; the high quantile needs more.
const (
	medianSamples = 11
	windowSamples = 64
	windowAge     = 30 * time.Second
)

// The quantiles that are reported.
const (
	median       = 0.50
	highQuantile = 0.95
)

// sample is one measured duration.
type sample struct {
	at    time.Duration
	value time.Duration
}

// window holds the latest samples of one kind, oldest first.
type window struct {
	samples []sample
}

// add adds a sample and drops the oldest beyond the bound.
func (w *window) add(now, value time.Duration) {
	if len(w.samples) == windowSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, sample{at: now, value: value})
}

// recent returns the values of the last n samples that are not too old.
func (w *window) recent(now time.Duration, n int) []time.Duration {
	from := max(0, len(w.samples)-n)
	values := make([]time.Duration, 0, n)
	for _, s := range w.samples[from:] {
		if now-s.at <= windowAge {
			values = append(values, s.value)
		}
	}
	return values
}

// middle returns the median of the latest samples, zero without any. Open holds
// how long unfinished measurements have taken so far: those that are above the
// median already count as samples, since their end can only be later. A straggler
// thus shows before its first slow answer.
func (w *window) middle(now time.Duration, open []time.Duration) time.Duration {
	return w.quantile(now, medianSamples, median, open)
}

// high returns the 95th percentile in the same way.
func (w *window) high(now time.Duration, open []time.Duration) time.Duration {
	return w.quantile(now, windowSamples, highQuantile, open)
}

// quantile returns the q-quantile of the last n samples and the open measurements
// above it.
func (w *window) quantile(now time.Duration, n int, q float64, open []time.Duration) time.Duration {
	values := w.recent(now, n)
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	base := pick(values, q)
	late := 0
	for _, value := range open {
		if value > base {
			values = append(values, value)
			late++
		}
	}
	if late == 0 {
		return base
	}
	slices.Sort(values)
	return pick(values, q)
}

// pick returns the q-quantile of sorted values by nearest rank.
func pick(sorted []time.Duration, q float64) time.Duration {
	at := int(q * float64(len(sorted)))
	return sorted[min(at, len(sorted)-1)]
}
