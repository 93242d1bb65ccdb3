package route

import (
	"context"

	"acaciawinch/core/fault"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Prober queries sidecars for their load. Errors are *fault.Error with the step
// "route.probe" or the step of dialing.
type Prober interface {
	Probe(ctx context.Context, addr string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error)
}

// linkProber sends probes over the fleet's connections.
type linkProber struct {
	dialer *link.Dialer
}

// NewProber returns a Prober that uses the connections of dialer.
func NewProber(dialer *link.Dialer) Prober { return linkProber{dialer: dialer} }

// Probe implements Prober.
func (p linkProber) Probe(ctx context.Context, addr string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	conn := p.dialer.Conn(ctx, addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	reply, err := wirepb.NewDRPCSideClient(conn).Probe(ctx, request)
	return reply, fault.Wrap(fault.Unavailable, "route.probe", addr, err)
}
