package ratelimit

import "github.com/uber-go/tally/v4"

// metrics counts what a Limiter decided and learned.
type metrics struct {
	// granted, refused, expired and unused count the permits of this process's requests, withheld the
	// requests that were not written for want of a permit.
	granted, refused, expired, unused, withheld tally.Counter
	// sends counts the requests to upstreams with a limit that were written.
	sends tally.Counter
	// lost counts the links to coordinators that broke.
	lost tally.Counter
	// limited is the number of upstreams with a known limit.
	limited tally.Gauge
	scope   tally.Scope
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{
		granted:  scope.Counter("rate_limit_granted"),
		refused:  scope.Counter("rate_limit_refused"),
		expired:  scope.Counter("rate_limit_expired"),
		unused:   scope.Counter("rate_limit_unused"),
		withheld: scope.Counter("rate_limit_withheld"),
		sends:    scope.Counter("rate_limit_sends"),
		lost:     scope.Counter("rate_limit_links_lost"),
		limited:  scope.Gauge("rate_limited_upstreams"),
		scope:    scope,
	}
}

// votes sets the gauge of the votes that this process holds on a service.
func (m metrics) votes(service string, count int) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("rate_limit_votes").Update(float64(count))
}
