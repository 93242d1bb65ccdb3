package pace

import (
	"slices"
	"time"
)

const (
	// maxExtra bounds the assumed time of one prefill chunk, in multiples of the pace. Prompts of 3,000 tokens take as
	// long as one event on the engines known; longer pauses have other causes, such as a stall of this process.
	maxExtra = 1.5
	// summaryTTL is how long the values that all engines have in common are used before they are computed again.
	summaryTTL = 200 * time.Millisecond
)

// An engine is slow from these ratios to the fast quarter of the engines. Slow engines take some 2.4 times
// as long as the others. Engines that differ by 1.3 are left alone: the limit of some request always lies between
// two of them, and it would give up its cached prefix for little.
const (
	slowerPace = 1.35
	// slowerFirst is larger, as the time to the first event depends on what is cached and queued too, and on the
	// machine's speed at that moment where engines don't report it.
	slowerFirst = 1.8
)

// summary holds what is derived from all engines.
type summary struct {
	at time.Time
	// worst is the usual worst fourth figure as a factor, extra the time of a prefill chunk in paces.
	worst, extra float64
	// fastGap and fastFirst are the quartiles of the paces and ratios of the engines, usualGap the median pace in
	// seconds; 0 if no pace is known.
	fastGap, fastFirst, usualGap float64
	// uneven is set if an engine is clearly slower than the fast quarter.
	uneven bool
}

// summary returns what is derived from all engines, at most summaryTTL old.
func (t *Table) summary(now time.Time) summary {
	if age := now.Sub(t.common.at); t.common.at.IsZero() || age < 0 || age >= summaryTTL {
		t.common = t.summarise(now)
	}
	return t.common
}

// summarise computes what is derived from all engines.
func (t *Table) summarise(now time.Time) summary {
	var gaps, ratios []float64
	for _, s := range t.engines {
		if gap, known := s.pace(now); known {
			gaps = append(gaps, gap)
		}
		if ratio, known := s.ratio(now); known {
			ratios = append(ratios, ratio)
		}
	}
	slices.Sort(gaps)
	slices.Sort(ratios)
	common := summary{at: now, worst: t.worstFigure(now), fastGap: quantile(gaps, 4), usualGap: quantile(gaps, 2), fastFirst: quantile(ratios, 4)}
	if extra, known := t.extras.percentile(now); known {
		common.extra = min(extra, maxExtra)
	}
	for _, s := range t.engines {
		pause, first := s.slower(common, now)
		common.uneven = common.uneven || pause || first
	}
	return common
}

// quantile returns the value below which one part of a sorted list lies, 0 if the list is empty.
func quantile(sorted []float64, parts int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/parts]
}

// enoughFigures is the number of fourth figures from which this process's own suffice: with machines that are slow in 15%
// of the time, the percentile of 100 figures shows it almost certainly, that of 10 does not.
const enoughFigures = 100

// worstFigure returns the usual worst fourth figure as a factor: that of the responses to this process or, if
// these are few, of the largest figures of the engines too.
func (t *Table) worstFigure(now time.Time) float64 {
	own, many := t.figures.percentile(now)
	if many && t.figures.fresh(now) >= enoughFigures {
		return max(1, own/usualPercent)
	}
	var largest []float64
	for _, s := range t.engines {
		if s.worst > 0 && now.Sub(s.observedAt) <= sampleTTL {
			largest = append(largest, float64(s.worst))
		}
	}
	if len(largest) == 0 {
		return max(1, own/usualPercent)
	}
	slices.Sort(largest)
	return max(1, own/usualPercent, largest[int(percentileRank*float64(len(largest)))]/usualPercent)
}

// slower is Slower for a state.
func (s *state) slower(common summary, now time.Time) (pause, firstEvent bool) {
	gap, gapKnown := s.pace(now)
	ratio, ratioKnown := s.ratio(now)
	pause = gapKnown && gap >= slowerPace*common.fastGap
	firstEvent = ratioKnown && common.fastFirst > 0 && ratio >= slowerFirst*common.fastFirst
	return pause, firstEvent
}
