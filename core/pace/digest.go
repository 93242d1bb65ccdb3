package pace

import (
	"math"
	"time"
)

// Summary stands for observations of one engine.
type Summary struct {
	Engine Engine
	// Gap is the mean time from one event to the next at the usual speed of the machine, Gaps the number of events
	// that it stands for.
	Gap  time.Duration
	Gaps float64
	// First is the mean ratio of the time to the first event to the usual time, Firsts the number of streams that
	// it stands for.
	First, Firsts float64
	// Worst is the largest fourth figure in percent, 0 if there was none.
	Worst int
	// Age is the age of the newest observation.
	Age time.Duration
}

// pending collects observations for a digest.
type pending struct {
	gaps, firsts sum
	worst        int
}

// sum is a sum of logarithms of values.
type sum struct{ logs, weight float64 }

// add adds a value.
func (s *sum) add(value, weight float64) {
	if value <= 0 {
		return
	}
	s.logs += weight * math.Log(value)
	s.weight += weight
}

// mean returns the geometric mean, 0 if there are no values.
func (s *sum) mean() float64 {
	if s.weight == 0 {
		return 0
	}
	return math.Exp(s.logs / s.weight)
}

// Digest returns the observations since the last call.
func (t *Table) Digest(now time.Time) []Summary {
	var digest []Summary
	for engine, s := range t.engines {
		if s.pending == (pending{}) {
			continue
		}
		p := s.pending
		digest = append(digest, Summary{Engine: engine, Gap: seconds(p.gaps.mean()), Gaps: p.gaps.weight,
			First: p.firsts.mean(), Firsts: p.firsts.weight, Worst: p.worst, Age: now.Sub(s.observedAt)})
		s.pending = pending{}
	}
	return digest
}

// Return adds a digest that did not arrive to the next one.
func (t *Table) Return(digest []Summary) {
	for _, d := range digest {
		s := t.engines[d.Engine]
		if s == nil {
			continue
		}
		s.pending.gaps.add(d.Gap.Seconds(), d.Gaps)
		s.pending.firsts.add(d.First, d.Firsts)
		s.pending.worst = max(s.pending.worst, d.Worst)
	}
}

// Apply replaces what is known of engines by the values that all processes have observed together. Those of a new
// holder may stand for too little to count at first: they don't replace better ones.
func (t *Table) Apply(merged []Summary, now time.Time) {
	for _, m := range merged {
		s := t.stateOf(m.Engine)
		at := now.Add(-m.Age)
		if m.Gap > 0 && (m.Gaps >= minGapWeight || s.gap.weightAt(now, halfLife) < minGapWeight) {
			s.gap = average{logMean: math.Log(m.Gap.Seconds()), weight: min(m.Gaps, maxGapWeight), at: now}
		}
		if m.First > 0 && (m.Firsts >= minFirstWeight || s.first.weightAt(now, firstHalfLife) < minFirstWeight) {
			s.first = average{logMean: math.Log(m.First), weight: min(m.Firsts, maxFirstWeight), at: now}
		}
		if m.Worst > 0 {
			s.worst = m.Worst
		}
		if at.After(s.observedAt) {
			s.observedAt = at
		}
	}
}
