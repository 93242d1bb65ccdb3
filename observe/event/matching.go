package event

// Events of what peers sent that is given to no call: 10041 to 10049.
var (
	GatewayUnmatched  = define(10041, "gateway_unmatched", "An upstream sent something that is given to no call: kind foreign is a response with the ID of another request, which was skipped; after unmatched, a response that may belong to another request, malformed, one whose head does not follow the protocol, and unasked, bytes while no request was in flight, the connection was closed.", "address", "kind", "status")
	ResponseOverLimit = define(10042, "response_over_limit", "A head, trailer or body of a response, an event of a stream or a message exceeds its limit; the rest was not read and the connection was closed. Peer is upstream, store or gateway; of gateways a single message is bounded.", "peer", "address", "part", "limit_bytes")
)
