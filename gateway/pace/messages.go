package pace

import (
	"math"
	"time"

	core "acaciawinch/core/pace"
	"acaciawinch/wire/wirepb"
)

// messagesOf encodes summaries.
func messagesOf(list []core.Summary) []*wirepb.PaceObservation {
	messages := make([]*wirepb.PaceObservation, len(list))
	for i, s := range list {
		messages[i] = &wirepb.PaceObservation{
			Engine:       s.Engine.ID,
			Incarnation:  s.Engine.Incarnation,
			GapUs:        rounded(float64(s.Gap.Microseconds())),
			Gaps:         rounded(s.Gaps),
			FirstPercent: rounded(s.First * 100),
			Firsts:       rounded(s.Firsts),
			WorstPercent: rounded(float64(s.Worst)),
			AgeMs:        rounded(float64(s.Age.Milliseconds())),
		}
	}
	return messages
}

// rounded converts a value to the nearest number that can be encoded.
func rounded(value float64) uint32 {
	return uint32(math.Round(min(max(0, value), math.MaxUint32)))
}

// summariesOf decodes summaries.
func summariesOf(messages []*wirepb.PaceObservation) []core.Summary {
	list := make([]core.Summary, len(messages))
	for i, m := range messages {
		list[i] = core.Summary{
			Engine: core.Engine{ID: m.GetEngine(), Incarnation: m.GetIncarnation()},
			Gap:    time.Duration(m.GetGapUs()) * time.Microsecond,
			Gaps:   float64(m.GetGaps()),
			First:  float64(m.GetFirstPercent()) / 100,
			Firsts: float64(m.GetFirsts()),
			Worst:  int(m.GetWorstPercent()),
			Age:    time.Duration(m.GetAgeMs()) * time.Millisecond,
		}
	}
	return list
}
