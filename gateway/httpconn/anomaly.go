package httpconn

import (
	"errors"

	"acaciawinch/core/fault"
	"acaciawinch/core/httphead"
)

// Kind is a kind of anomaly.
type Kind string

// The kinds of anomalies.
const (
	// Foreign: a response with the ID of another request was skipped.
	Foreign Kind = "foreign"
	// Unmatched: nothing shows which request a response answers. Its connection was closed.
	Unmatched Kind = "unmatched"
	// Unasked: bytes came while no request was in flight. The connection was closed.
	Unasked Kind = "unasked"
	// Malformed: the head of a response does not follow the protocol. The connection was closed.
	Malformed Kind = "malformed"
	// OverLimit: a part of a response exceeds its limit. The connection was closed.
	OverLimit Kind = "over_limit"
)

// Anomaly is something that an upstream sent and that is given to no call.
type Anomaly struct {
	// Address is the upstream's address.
	Address string
	Kind    Kind
	// Status is the status of the response, 0 if it was not read.
	Status int
	// Part and Limit are set for the kind OverLimit.
	Part  Part
	Limit int64
}

// observe reports an anomaly.
func (c *Client) observe(a Anomaly) {
	if c.onAnomaly != nil {
		c.onAnomaly(a)
	}
}

// OverLimit reports a part of the body that exceeds a limit of the caller in bytes, and closes the connection.
func (r *Response) OverLimit(part Part, limit int64) {
	r.client.observe(Anomaly{Address: r.conn.addr, Kind: OverLimit, Part: part, Limit: limit})
	r.Close()
}

// observeError reports err if it is a LimitError or an httphead.ProtocolError. It returns err.
func (c *Client) observeError(from *conn, err error) error {
	var over *LimitError
	if errors.As(err, &over) {
		c.observe(Anomaly{Address: from.addr, Kind: OverLimit, Part: over.Part, Limit: over.Limit})
		return fault.Wrap(fault.Ambiguous, "upstream.receive", from.addr, err)
	}
	var broken *httphead.ProtocolError
	if errors.As(err, &broken) {
		c.observe(Anomaly{Address: from.addr, Kind: Malformed})
	}
	return err
}
