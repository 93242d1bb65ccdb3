// Package pace estimates how fast the engines of a service are: the usual time from one event of a stream to
// the next on each engine, and the time to the first event. The load that it addresses is a service whose
// engines differ permanently in speed, so that the slow ones alone violate the objectives. The package does no
// I/O and reads no clock. Its types are not safe for concurrent use.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of the observations of an engine: one that recovers is used again within seconds.
	halfLife = 8 * time.Second
	// firstHalfLife is the half-life of the ratios of times to the first event. A stream gives only one of them, and
	// requests with time to spare measure a slow engine all the time.
	firstHalfLife = 20 * time.Second
	// maxGapWeight bounds the events that a pace stands for, and maxFirstWeight the streams that a ratio of the
	// first event stands for.
	maxGapWeight, maxFirstWeight = 96, 48
	// minGapWeight and minFirstWeight are what must be left of them for the values to count. With less, the engine
	// is taken to be a usual one.
	minGapWeight, minFirstWeight = 6, 8
	// forgetAfter is how long the pace of an engine is known after its last observation. Excluded engines are
	// measured by trials only, which are further apart than the half-life: without it, each trial would be followed by
	// seconds in which the engine counts as usual and gets its share of the requests.
	forgetAfter = 30 * time.Second
	// tailFactor is how much longer the longest pause of a stream is than the expected one. A stream has dozens of
	// pauses, prompts that are prefilled meanwhile take several chunks, and paces are estimated from the shorter pauses.
	tailFactor = 1.8
	// usualFirstWeight is the weight of the assumption that an engine's time to the first event is the usual one.
	// Few streams say little, as their times depend on what is cached and queued.
	usualFirstWeight = 2
)

// Table holds the paces of the engines of one service.
type Table struct {
	engines map[Engine]*state
	usual   usual
	// figures are the fourth figures of the service, extras the extra times of its longest gaps in multiples of
	// the pace.
	figures, extras samples
	// stagger separates the trials of processes.
	stagger stagger
	common  summary
}

// state is what is known of one engine.
type state struct {
	// gap is its pace in seconds, first its ratio of the times to the first event.
	gap, first average
	// worst is the largest fourth figure of the last report by the holder.
	worst int
	// pending are the observations since the last digest.
	pending pending
	// observedAt is when it was last observed by any process, triedAt when this process last tried it again,
	// excludedAt when it was last excluded for a request; logged is set while it counts as slow.
	observedAt, triedAt, excludedAt time.Time
	logged                          bool
}

// NewTable returns an empty table for the process of the given name.
func NewTable(name string) *Table {
	return &Table{engines: make(map[Engine]*state), stagger: stagger{name: name, members: 1}}
}

// Observe records what was seen of a stream of an engine.
func (t *Table) Observe(engine Engine, o Observation, now time.Time) {
	s := t.stateOf(engine)
	s.observedAt = now
	if o.Pace > 0 {
		t.figures.add(float64(o.Pace), now)
		s.pending.worst = max(s.pending.worst, o.Pace)
	}
	if gap, events := o.pace(); events > 0 {
		s.gap.addAfterGap(gap.Seconds(), float64(events), now)
		s.pending.gaps.add(gap.Seconds(), float64(events))
		if extra, known := o.extra(gap); known {
			t.extras.add(extra, now)
		}
	}
	if o.FirstEvent > 0 {
		t.observeFirst(s, o, now)
	}
}

// observeFirst records a time to the first event. The usual time is that of an engine with the ratio 1.
func (t *Table) observeFirst(s *state, o Observation, now time.Time) {
	seconds := o.FirstEvent.Seconds() * usualPercent / float64(o.percent())
	if usual, known := t.usual.seconds(o.Tokens, now); known {
		ratio := seconds / usual
		s.first.add(ratio, 1, now, firstHalfLife, maxFirstWeight)
		s.pending.firsts.add(ratio, 1)
	}
	ratio, _ := s.ratio(now)
	t.usual.add(o.Tokens, seconds/ratio, now)
}

// ratio returns the ratio of an engine's times to the first event to the usual ones, 1 and false if it is not
// known.
func (s *state) ratio(now time.Time) (float64, bool) {
	weight := s.first.weightAt(now, firstHalfLife)
	if weight < minFirstWeight {
		return 1, false
	}
	return math.Exp(s.first.logMean * weight / (weight + usualFirstWeight)), true
}

// pace returns an engine's pace in seconds, and false if it is not known.
func (s *state) pace(now time.Time) (float64, bool) {
	if s.gap.weight < minGapWeight || now.Sub(s.gap.at) > forgetAfter {
		return 0, false
	}
	return s.gap.value(), true
}

// Expected returns the expected time to the first event of a prompt and the expected longest pause at an
// engine. A duration of 0 is not known; known is false if neither is. An engine without observations has the
// usual values of the service.
func (t *Table) Expected(engine Engine, tokens int, now time.Time) (firstEvent, pause time.Duration, known bool) {
	return t.expected(engine, tokens, now, t.summary(now).worst)
}

// expected is Expected for a fourth figure, as a factor.
func (t *Table) expected(engine Engine, tokens int, now time.Time, figure float64) (firstEvent, pause time.Duration, known bool) {
	common := t.summary(now)
	ratio, gap := 1.0, common.usualGap
	if s := t.engines[engine]; s != nil {
		ratio, _ = s.ratio(now)
		if own, ok := s.pace(now); ok {
			gap = own
		}
	}
	pause = seconds(tailFactor * gap * figure * (1 + common.extra)) // a slow machine takes longer for the prefill chunk too
	if usual, ok := t.usual.seconds(tokens, now); ok {
		firstEvent = seconds(usual * ratio)
	}
	return firstEvent, pause, firstEvent > 0 || pause > 0
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Uneven reports whether an engine is clearly slower than the fast quarter of the engines.
func (t *Table) Uneven(now time.Time) bool { return t.summary(now).uneven }

// Slower reports whether an engine's pace, and its times to the first event, are clearly above those of the
// fast quarter of the engines.
func (t *Table) Slower(engine Engine, now time.Time) (pause, firstEvent bool) {
	s, common := t.engines[engine], t.summary(now)
	if s == nil {
		return false, false
	}
	return s.slower(common, now)
}

// Weight returns the factor by which the share of slots in use of a plain upstream counts: the ratio of its
// response times to those of the fast quarter if its service reports fourth figures and the upstream is clearly
// slower, else 1.
func (t *Table) Weight(engine Engine, now time.Time) float64 {
	common := t.summary(now)
	if !t.reportsFigures(now) || !common.uneven {
		return 1
	}
	if _, slow := t.Slower(engine, now); !slow {
		return 1
	}
	ratio, _ := t.engines[engine].ratio(now)
	return ratio / common.fastFirst
}

// reportsFigures reports whether the service's upstreams have sent fourth figures within sampleTTL.
func (t *Table) reportsFigures(now time.Time) bool {
	return slices.ContainsFunc(t.figures.ring, func(one sample) bool { return now.Sub(one.at) <= sampleTTL })
}

// Keep drops all engines but the listed ones.
func (t *Table) Keep(listed func(Engine) bool) {
	for engine := range t.engines {
		if !listed(engine) {
			delete(t.engines, engine)
			t.common.at = time.Time{}
		}
	}
}

// Len returns the number of engines of which something is known.
func (t *Table) Len() int { return len(t.engines) }

// stateOf returns the state of an engine and creates it if there is none.
func (t *Table) stateOf(engine Engine) *state {
	s := t.engines[engine]
	if s == nil {
		s = &state{}
		t.engines[engine] = s
	}
	return s
}
