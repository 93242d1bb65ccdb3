package pace

import "github.com/uber-go/tally/v4"

// metrics counts exchanges with other gateways and engines that are excluded.
type metrics struct {
	// exchanges counts the digests sent to holders, failures those without a reply.
	exchanges, failures tally.Counter
	scope               tally.Scope
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{exchanges: scope.Counter("engine_pace_exchanges"), failures: scope.Counter("engine_pace_failures"), scope: scope}
}

// excluded counts the engines that were excluded for a request.
func (m metrics) excluded(service string, count int) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("engines_excluded").Inc(int64(count))
}

// slow sets the number of engines that are excluded at present.
func (m metrics) slow(service string, count int) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("engines_slow").Update(float64(count))
}
