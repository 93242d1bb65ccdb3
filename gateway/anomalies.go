package gateway

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/gateway/httpconn"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/link"
)

// anomalies logs and counts what upstreams, the store and other gateways sent that is given to no call.
type anomalies struct {
	logger *observe.Logger
	scope  tally.Scope
}

// ofUpstream records an anomaly of an upstream.
func (a anomalies) ofUpstream(found httpconn.Anomaly) {
	if found.Kind == httpconn.OverLimit {
		a.overLimit("upstream", found.Address, string(found.Part), found.Limit)
		return
	}
	a.scope.Tagged(map[string]string{"kind": string(found.Kind)}).Counter("upstream_responses_unmatched").Inc(1)
	a.logger.Warn(event.GatewayUnmatched, observe.Fields{"address": found.Address, "kind": string(found.Kind), "status": found.Status})
}

// ofStore records a part of a response of the store that exceeds its limit in bytes.
func (a anomalies) ofStore(address, part string, limit int64) {
	a.overLimit("store", address, part, limit)
}

// ofGateway records a message of another gateway that exceeds its limit.
func (a anomalies) ofGateway(address string) {
	a.overLimit("gateway", address, "message", link.MaxMessageBytes)
}

// overLimit records a part of a response that exceeds its limit in bytes.
func (a anomalies) overLimit(peer, address, part string, limit int64) {
	a.scope.Tagged(map[string]string{"peer": peer, "part": part}).Counter("responses_over_limit").Inc(1)
	a.logger.Warn(event.ResponseOverLimit, observe.Fields{"peer": peer, "address": address, "part": part, "limit_bytes": limit})
}
