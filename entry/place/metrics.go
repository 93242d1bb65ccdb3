package place

import "github.com/uber-go/tally/v4"

// metrics counts the work of the proposer.
type metrics struct {
	// holding is 1 while this process holds the lease.
	holding tally.Gauge
	// assignments and unfinished are the numbers of assignments and unfinished loads of the
	// plan last read.
	assignments, unfinished tally.Gauge
	// plans and notWritten count the plans that took effect and those that could not be
	// written; probes counts the engines probed.
	plans, notWritten, probes tally.Counter
}

// newMetrics registers the metrics below scope; a nil scope drops them.
func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("placement")
	return &metrics{
		holding:     scope.Gauge("holding"),
		assignments: scope.Gauge("assignments"),
		unfinished:  scope.Gauge("unfinished_loads"),
		plans:       scope.Counter("plans_written"),
		notWritten:  scope.Counter("plans_not_written"),
		probes:      scope.Counter("probes"),
	}
}

// setHolding sets whether this process holds the lease.
func (m *metrics) setHolding(holds bool) {
	value := 0.0
	if holds {
		value = 1
	}
	m.holding.Update(value)
}
