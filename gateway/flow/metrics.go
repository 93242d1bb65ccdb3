package flow

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics counts requests and their times.
type Metrics struct {
	scope tally.Scope
}

// latencyBuckets covers 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// NewMetrics returns metrics under scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// ended counts one request by its end.
func (m *Metrics) ended(outcome string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// stage counts one stage of a request.
func (m *Metrics) stage(service string, failure string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"service": service, "failure": failure})
	tagged.Histogram("stage_seconds", latencyBuckets).RecordDuration(took)
}

// sent counts one send to a service, and whether it was a repeated one.
func (m *Metrics) sent(service string, again bool) {
	name := "sends"
	if again {
		name = "repeated_sends"
	}
	m.scope.Tagged(map[string]string{"service": service}).Counter(name).Inc(1)
}

// firstEvent records the time until a stream's first event.
func (m *Metrics) firstEvent(took time.Duration) {
	m.scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(took)
}
