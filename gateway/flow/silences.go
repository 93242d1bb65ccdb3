package flow

import (
	"sync"
	"time"

	"acaciawinch/core/silence"
)

// silences are the times that upstreams of this process's requests took, and the sends that are watched now. They are
// safe for concurrent use.
type silences struct {
	mu    sync.Mutex
	table *silence.Table
	// watched holds the sends that have not ended.
	watched map[silence.Key]map[*sendWatch]struct{}
}

// newSilences returns silences without observations.
func newSilences() *silences {
	return &silences{table: silence.NewTable(), watched: make(map[silence.Key]map[*sendWatch]struct{})}
}

// add records a send that begins.
func (s *silences) add(w *sendWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched[w.key] == nil {
		s.watched[w.key] = make(map[*sendWatch]struct{})
	}
	s.watched[w.key][w] = struct{}{}
}

// remove forgets a send that has ended.
func (s *silences) remove(w *sendWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched[w.key], w)
	if len(s.watched[w.key]) == 0 {
		delete(s.watched, w.key)
	}
}

// waiting returns the sends that wait for a first byte, or for a further event, with the times that they have waited.
// s.mu must be held.
func (s *silences) waiting(key silence.Key, isFirst bool, now time.Time) []silence.Observation {
	var list []silence.Observation
	for w := range s.watched[key] {
		if silent := w.silent.Load(); silent != nil && silent.isFirst == isFirst {
			list = append(list, silence.Observation{Upstream: w.upstream.ID, Took: now.Sub(silent.since), Cut: true})
		}
	}
	return list
}

// silentSpan is a silence that goes on: its beginning, and whether it is that before the first byte or event.
type silentSpan struct {
	since   time.Time
	isFirst bool
}

// with calls a function that reads or changes the table.
func (s *silences) with(use func(table *silence.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.table)
}
