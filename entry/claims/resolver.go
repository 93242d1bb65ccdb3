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

// SideResolver asks sides over drpc.
type SideResolver struct {
	Dialer *link.Dialer
}

// Resolve implements Resolver. Errors have code Unavailable: no answer came. The
// side may have written a tombstone all the same, which can only refuse an
// attempt, never run one.
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
