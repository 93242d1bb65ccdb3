package relay

import "github.com/uber-go/tally/v4"

// metrics reports which source this process uses and how old its state is.
type metrics struct {
	// proofAge is the age of the newest proof in s; hops is the number of processes that it
	// came through.
	proofAge, hops tally.Gauge
	// reads is 1 while this process reads the store; follows is 1 while it follows another
	// gateway.
	reads, follows tally.Gauge
	// changes counts plans that differ from the previous one; lost counts sources whose link
	// broke.
	changes, lost tally.Counter
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{
		proofAge: scope.Gauge("proof_age_seconds"),
		hops:     scope.Gauge("source_hops"),
		reads:    scope.Gauge("reads_store"),
		follows:  scope.Gauge("follows_gateway"),
		changes:  scope.Counter("source_changes"),
		lost:     scope.Counter("sources_lost"),
	}
}

// boolValue returns 1 if set, else 0.
func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
