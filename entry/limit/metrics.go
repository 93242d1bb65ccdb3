package limit

import (
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/share"
)

// metrics counts permits asked for and answered.
type metrics struct {
	// granted, alone and refused count the ends of searches; refusedAlone those
	// refused while no home answered.
	granted, alone, refused, refusedAlone tally.Counter
	// wait is the time of a search.
	wait tally.Timer
	// silences counts homes that did not answer, moves requests that another home
	// counts, lost releases that did not arrive.
	silences, moves, lost tally.Counter
	// given and denied count this entry's answers as a home; out are the permits of
	// its ledger.
	given, denied tally.Counter
	out           tally.Gauge
}

// newMetrics registers the metrics below scope; a nil scope drops them.
func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("limit")
	return &metrics{
		granted:      scope.Counter("granted"),
		alone:        scope.Counter("unchecked"),
		refused:      scope.Counter("refused"),
		refusedAlone: scope.Counter("refused_unchecked"),
		wait:         scope.Timer("wait"),
		silences:     scope.Counter("home_silences"),
		moves:        scope.Counter("home_changes"),
		lost:         scope.Counter("releases_lost"),
		given:        scope.Counter("home_granted"),
		denied:       scope.Counter("home_refused"),
		out:          scope.Gauge("home_permits"),
	}
}

// decided counts the end of a search.
func (m *metrics) decided(kind share.StepKind, wait time.Duration) {
	m.wait.Record(wait)
	switch kind {
	case share.StepGranted:
		m.granted.Inc(1)
	case share.StepAlone:
		m.alone.Inc(1)
	case share.StepRefused:
		m.refused.Inc(1)
	case share.StepRefusedAlone:
		m.refusedAlone.Inc(1)
	}
}

// answered counts an answer as a home.
func (m *metrics) answered(answer share.Answer) {
	if answer.Granted {
		m.given.Inc(1)
		return
	}
	m.denied.Inc(1)
}
