package flow

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics records the counts and durations of requests, stages and sends.
type Metrics struct {
	scope tally.Scope
}

// latencyBuckets cover 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// NewMetrics returns metrics under scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// requestEnded records one request with its outcome.
func (m *Metrics) requestEnded(outcome string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// notAdmitted counts one request that is refused before its stages.
func (m *Metrics) notAdmitted() { m.scope.Counter("requests_not_admitted").Inc(1) }

// stageEnded records one stage of a request.
func (m *Metrics) stageEnded(service string, failure string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"service": service, "failure": failure})
	tagged.Histogram("stage_seconds", latencyBuckets).RecordDuration(took)
}

// sendStarted counts one send to a service; first sends and repeated ones are counted apart.
func (m *Metrics) sendStarted(service string, repeated bool) {
	name := "sends"
	if repeated {
		name = "repeated_sends"
	}
	m.scope.Tagged(map[string]string{"service": service}).Counter(name).Inc(1)
}

// silentGivenUp counts one send that was given up as its upstream was silent.
func (m *Metrics) silentGivenUp(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("silent_given_up").Inc(1)
}

// silentServed counts one request that was served by another upstream after a silent one.
func (m *Metrics) silentServed(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("silent_served_elsewhere").Inc(1)
}

// firstEvent records the time until a stream's first event.
func (m *Metrics) firstEvent(took time.Duration) {
	m.scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(took)
}
