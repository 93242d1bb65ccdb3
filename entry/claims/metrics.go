package claims

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/core/claim"
)

// metrics counts the calls that claims require, and the verdicts on claims.
type metrics struct {
	scope tally.Scope
	// writes, reads and resolves count the calls made.
	writes, reads, resolves tally.Counter
}

// newMetrics registers the metrics below scope; a nil scope drops them.
func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("claims")
	return &metrics{
		scope:    scope,
		writes:   scope.Counter("store_writes"),
		reads:    scope.Counter("store_reads"),
		resolves: scope.Counter("resolves"),
	}
}

// called counts a call to the store or to a sidecar.
func (m *metrics) called(call claim.Call) {
	switch call {
	case claim.CallCreate, claim.CallUpdate:
		m.writes.Inc(1)
	case claim.CallRead:
		m.reads.Inc(1)
	case claim.CallResolve:
		m.resolves.Inc(1)
	}
}

// decided counts a verdict of an action on a claim, such as open or release.
func (m *metrics) decided(action string, status Status) {
	tags := map[string]string{"action": action, "status": status.String()}
	m.scope.Tagged(tags).Counter("verdicts").Inc(1)
}
