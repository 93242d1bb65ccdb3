package route

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/core/routing"
)

// metrics are the metrics of a Router.
type metrics struct {
	// late counts probes that exceeded their timeout. Some of them get a response later.
	sent, answered, late, unanswered tally.Counter
	// bytes counts the encoded probe messages in both directions, without framing.
	bytes    tally.Counter
	choices  [3]tally.Counter
	spills   tally.Counter
	refusals tally.Counter
	widened  tally.Counter
	suspects tally.Gauge
	latency  tally.Timer
}

// tierNames are the values of the metric tag "zone".
var tierNames = [...]string{routing.OwnZone: "own", routing.OwnRegion: "region", routing.OtherRegion: "other"}

// newMetrics registers the metrics, tagged with the name of the policy.
func newMetrics(scope tally.Scope, policy string) *metrics {
	scope = scope.SubScope("routing")
	m := &metrics{
		sent:       scope.Counter("probes_sent"),
		answered:   scope.Counter("probes_answered"),
		late:       scope.Counter("probes_late"),
		unanswered: scope.Counter("probes_unanswered"),
		bytes:      scope.Counter("probe_bytes"),
		spills:     scope.Counter("spills"),
		refusals:   scope.Counter("refusals"),
		widened:    scope.Counter("widened"),
		suspects:   scope.Gauge("suspected_upstreams"),
		latency:    scope.Timer("choose_seconds"),
	}
	for tier, name := range tierNames {
		tags := map[string]string{"policy": policy, "zone": name}
		m.choices[tier] = scope.Tagged(tags).Counter("choices")
	}
	return m
}
