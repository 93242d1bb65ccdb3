package gateway

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/gateway/httpconn"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// anomalies logs and counts what upstreams sent that is given to no call.
type anomalies struct {
	logger *observe.Logger
	scope  tally.Scope
}

// newAnomalies returns anomalies that are counted under scope.
func newAnomalies(logger *observe.Logger, scope tally.Scope) anomalies {
	return anomalies{logger: logger, scope: scope}
}

// record records one anomaly.
func (a anomalies) record(found httpconn.Anomaly) {
	a.scope.Tagged(map[string]string{"kind": string(found.Kind)}).Counter("upstream_responses_unmatched").Inc(1)
	a.logger.Warn(event.GatewayUnmatched, observe.Fields{"address": found.Address, "kind": string(found.Kind), "status": found.Status})
}
