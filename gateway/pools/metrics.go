package pools

import "github.com/uber-go/tally/v4"

// metrics counts what an Owner decided about the room of its upstreams.
type metrics struct {
	// freedOfGone counts the results that were freed because the gateway that they had been handed to is gone.
	freedOfGone tally.Counter
	// heldLearned counts the results of other owners' calls that gateways have reported.
	heldLearned tally.Counter
	// reports and reportsFailed count the upstreams that were asked for their room, unaccountedBytes what they
	// stored and no gateway had reported.
	reports, reportsFailed, unaccountedBytes tally.Counter
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{
		freedOfGone:      scope.Counter("pool_results_of_gone_freed"),
		heldLearned:      scope.Counter("pool_results_held_learned"),
		reports:          scope.Counter("pool_room_reports"),
		reportsFailed:    scope.Counter("pool_room_reports_failed"),
		unaccountedBytes: scope.Counter("pool_room_unaccounted_bytes"),
	}
}
