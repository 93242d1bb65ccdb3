package clean

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/core/config/retention"
)

// metrics counts the calls made and the objects deleted.
type metrics struct {
	scope tally.Scope
	// reads and writes count the calls made.
	reads, writes tally.Counter
	// copies and parts count the copies of heads and the parts deleted, spared the parts
	// kept because a change came to need them; see retention.Result.
	copies, parts, spared tally.Counter
	// oldest is the oldest revision kept after the last pass.
	oldest tally.Gauge
}

// newMetrics registers the metrics below scope; a nil scope drops them.
func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("clean")
	return &metrics{
		scope:  scope,
		reads:  scope.Counter("store_reads"),
		writes: scope.Counter("store_writes"),
		copies: scope.Counter("copies_removed"),
		parts:  scope.Counter("parts_removed"),
		spared: scope.Counter("parts_spared"),
		oldest: scope.Gauge("oldest_revision"),
	}
}

// called counts a call to the object API.
func (m *metrics) called(kind retention.ActionKind) {
	switch kind {
	case retention.ActionGet, retention.ActionList:
		m.reads.Inc(1)
	case retention.ActionUpdate, retention.ActionDelete:
		m.writes.Inc(1)
	}
}

// ended counts a pass by its outcome, and what it deleted.
func (m *metrics) ended(r retention.Result) {
	m.scope.Tagged(map[string]string{"outcome": string(r.Outcome)}).Counter("passes").Inc(1)
	m.copies.Inc(int64(r.Copies))
	m.parts.Inc(int64(r.Parts))
	m.spared.Inc(int64(r.Spared))
	m.oldest.Update(float64(r.Oldest))
}
