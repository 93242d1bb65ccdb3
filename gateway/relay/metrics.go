package relay

import "github.com/uber-go/tally/v4"

// metrics tell whom this process learns from and how old its knowledge is.
type metrics struct {
	// proofAge is the age of the newest proof in s, hops through how many processes it came.
	proofAge, hops tally.Gauge
	// reads is 1 while this process reads the store, follows 1 while it follows another one.
	reads, follows tally.Gauge
	// changes counts plans that differ from the one before, lost sources that broke off.
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

// one returns 1 if set, else 0.
func one(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
