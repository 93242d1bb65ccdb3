package httpconn

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
)

// Anomaly is something that an upstream sent and that is given to no call.
type Anomaly struct {
	// Address is the upstream's address.
	Address string
	Kind    Kind
	// Status is the status of the response, 0 if it was not read.
	Status int
}

// observe reports an anomaly.
func (c *Client) observe(a Anomaly) {
	if c.onAnomaly != nil {
		c.onAnomaly(a)
	}
}
