package pace

import (
	"cmp"
	"slices"
	"time"
)

// Engine identifies one run of an engine.
type Engine struct {
	ID          string
	Incarnation int64
}

// Gap is the time from one arrival of events of a stream to the next. Events that arrive together have one
// gap together.
type Gap struct {
	Time time.Duration
	// Events is the number of events that arrived at its end.
	Events int
	// Age is the time between the engine's load report and the end of the gap.
	Age time.Duration
}

// perEvent returns the time that one event took.
func (g Gap) perEvent() time.Duration { return g.Time / time.Duration(max(1, g.Events)) }

// Observation is what was seen of a stream, or of a part of it.
type Observation struct {
	// Tokens is the number of tokens of the prompt.
	Tokens int
	// FirstEvent is the time from the send to the first event; 0 if it is not part of the observation.
	FirstEvent time.Duration
	Gaps       []Gap
	// Pace is the fourth figure of the engine's load report in percent, 0 if there was none.
	Pace int
}

const (
	// usualPercent is the fourth figure of a machine at its usual speed.
	usualPercent = 100
	// figureTTL is how long a fourth figure describes the machine: half of the 0.6 s for which machines are
	// usually slow.
	figureTTL = 300 * time.Millisecond
	// steadyPercent is the largest fourth figure with which gaps older than figureTTL are used as they are. Above
	// it, the machine has been slow in an unknown part of them.
	steadyPercent = 125
)

// percent returns the fourth figure, or that of a machine at its usual speed if there was none.
func (o Observation) percent() int {
	if o.Pace <= 0 {
		return usualPercent
	}
	return o.Pace
}

// corrected returns the time that one event of a gap takes at the usual speed of the machine, and false if that
// is not known.
func (o Observation) corrected(g Gap) (time.Duration, bool) {
	if o.Pace <= 0 {
		return g.perEvent(), true
	}
	if g.Age <= figureTTL {
		return g.perEvent() * usualPercent / time.Duration(o.Pace), true
	}
	return g.perEvent(), o.Pace <= steadyPercent
}

// pace returns the median time from one event to the next at the usual speed of the machine, and the number of
// events that it stands for. The median leaves out the time in which a machine is slow without a report.
func (o Observation) pace() (time.Duration, int) {
	type weighted struct {
		time   time.Duration
		events int
	}
	var known []weighted
	total := 0
	for _, gap := range o.Gaps {
		if took, ok := o.corrected(gap); ok && took > 0 {
			known = append(known, weighted{took, max(1, gap.Events)})
			total += max(1, gap.Events)
		}
	}
	slices.SortFunc(known, func(a, b weighted) int { return cmp.Compare(a.time, b.time) })
	seen := 0
	for _, one := range known {
		seen += one.events
		if 2*seen >= total {
			return one.time, total
		}
	}
	return 0, 0
}

// extra returns by how much the longest gap exceeds the median, in multiples of the median, and false if the
// machine may have been slow meanwhile: the remainder is the prefill of other prompts.
func (o Observation) extra(median time.Duration) (float64, bool) {
	var longest time.Duration
	for _, gap := range o.Gaps {
		if o.Pace > 0 && (o.Pace > steadyPercent || gap.Age > figureTTL) {
			continue
		}
		longest = max(longest, gap.Time)
	}
	if longest == 0 || median == 0 {
		return 0, false
	}
	return max(0, float64(longest)/float64(median)-1), true
}
