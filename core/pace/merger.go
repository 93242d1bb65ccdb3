package pace

import (
	"math"
	"time"
)

const (
	// changedBy is the change of a mean, as the difference of logarithms, from which it is sent at once. It is well
	// below the difference that makes an engine slow.
	changedBy = 0.1
	// weightGrowth is the factor by which the weight of the observations must exceed what is left of the weight last
	// sent. At the largest weight this is the case every 13 s, so that some 90 of 1,100 engines are sent in a second,
	// and the weight at other processes stays above the least one that counts.
	weightGrowth = 3
	// rareAfter is the time without an observation after which the next one is sent at once: the engine may be
	// excluded, and each process would try it again. It is shorter than trialAfter.
	rareAfter = 5 * time.Second
)

// Merger merges the digests of all processes on the engines of one service.
type Merger struct {
	engines map[Engine]*merged
	// number is that of the newest table: it increases with each digest that brings observations.
	number uint64
}

// merged is what is known of one engine.
type merged struct {
	gap, first average
	worst      int
	worstAt    time.Time
	observedAt time.Time
	// sentGap and sentFirst are the values that were last sent, in the table of the given number.
	number             uint64
	sentGap, sentFirst average
}

// NewMerger returns a Merger that knows no engine.
func NewMerger() *Merger { return &Merger{engines: make(map[Engine]*merged)} }

// Merge adds the observations of one process.
func (m *Merger) Merge(digest []Summary, now time.Time) {
	if len(digest) == 0 {
		return
	}
	m.number++
	for _, s := range digest {
		e := m.engines[s.Engine]
		if e == nil {
			e = &merged{}
			m.engines[s.Engine] = e
		}
		before := e.observedAt
		e.add(s, now)
		if e.hasChanged(before, now) {
			e.number, e.sentGap, e.sentFirst = m.number, e.gap, e.first
		}
	}
}

// add adds the observations of one process.
func (e *merged) add(s Summary, now time.Time) {
	age := max(0, s.Age)
	e.gap.addAfterGap(s.Gap.Seconds(), s.Gaps*math.Exp2(-float64(age)/float64(halfLife)), now)
	e.first.add(s.First, s.Firsts*math.Exp2(-float64(age)/float64(firstHalfLife)), now, firstHalfLife, maxFirstWeight)
	if s.Worst > 0 && (s.Worst >= e.worst || now.Sub(e.worstAt) > sampleTTL) {
		e.worst, e.worstAt = s.Worst, now
	}
	if at := now.Add(-age); at.After(e.observedAt) {
		e.observedAt = at
	}
}

// hasChanged reports whether the values must be sent after an observation; before is when the one before it was made.
func (e *merged) hasChanged(before, now time.Time) bool {
	return e.number == 0 || e.observedAt.Sub(before) >= rareAfter ||
		differs(&e.gap, &e.sentGap, now, halfLife) || differs(&e.first, &e.sentFirst, now, firstHalfLife)
}

// differs reports whether a mean has changed since it was sent, or rests on many more observations.
func differs(mean, sent *average, now time.Time, halfLife time.Duration) bool {
	return math.Abs(mean.logMean-sent.logMean) >= changedBy || mean.weightAt(now, halfLife) > weightGrowth*sent.weightAt(now, halfLife)
}

// Number returns the number of the newest table.
func (m *Merger) Number() uint64 { return m.number }

// Since returns the values that have changed after the table of a number.
func (m *Merger) Since(number uint64, now time.Time) []Summary {
	var changed []Summary
	for engine, e := range m.engines {
		if e.number <= number {
			continue
		}
		s := Summary{Engine: engine, Gaps: e.gap.weightAt(now, halfLife), Firsts: e.first.weightAt(now, firstHalfLife), Age: now.Sub(e.observedAt)}
		if s.Gaps > 0 {
			s.Gap = seconds(e.gap.value())
		}
		if s.Firsts > 0 {
			s.First = e.first.value()
		}
		if now.Sub(e.worstAt) <= sampleTTL {
			s.Worst = e.worst
		}
		changed = append(changed, s)
	}
	return changed
}

// Keep drops all engines but the listed ones.
func (m *Merger) Keep(listed func(Engine) bool) {
	for engine := range m.engines {
		if !listed(engine) {
			delete(m.engines, engine)
		}
	}
}
