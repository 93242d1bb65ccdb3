package claims

import (
	"context"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// resolveTimeout bounds one Resolve call.
const resolveTimeout = time.Second

// SideResolver calls sidecars over DRPC.
type SideResolver struct {
	Dialer *link.Dialer
}

// Resolve implements Resolver. Errors have code Unavailable: there was no response. The
// sidecar may nevertheless have written a tombstone. That is safe, because a tombstone
// can only cause an attempt to be refused, never to run.
func (r SideResolver) Resolve(ctx context.Context, addr string, req *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	conn := r.Dialer.Conn(ctx, addr)
	defer conn.Close()
	reply, err := wirepb.NewDRPCSideClient(conn).Resolve(ctx, req)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "claim.resolve", addr, err)
	}
	return reply, nil
}
