package pools

import "github.com/uber-go/tally/v4"

// metrics counts what an Owner decided about the room of its upstreams.
type metrics struct {
	// freedOfGone counts the results that were freed because the gateway that they had been handed to is gone.
	freedOfGone tally.Counter
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{
		freedOfGone: scope.Counter("pool_results_of_gone_freed"),
	}
}
