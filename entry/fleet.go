package entry

import (
	"context"
	"encoding/json"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/entry/limit"
	"acaciawinch/entry/trace"
	"acaciawinch/feed"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// fleetServer implements the drpc service Entry for the other processes of the fleet.
type fleetServer struct {
	*limit.Limiter
	feed   *feed.Feed
	traces *trace.Ring
}

// Subscribe implements wirepb.DRPCEntryServer.
func (s *fleetServer) Subscribe(request *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
	return s.feed.Subscribe(request, stream)
}

// Lookup implements wirepb.DRPCEntryServer.
func (s *fleetServer) Lookup(_ context.Context, request *wirepb.LookupRequest) (*wirepb.LookupReply, error) {
	found, ok := s.traces.Get(core.RequestID(request.GetRequestId()))
	if !ok {
		return &wirepb.LookupReply{}, nil
	}
	encoded, err := json.Marshal(found)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "lookup.encode", request.GetRequestId(), err)
	}
	return &wirepb.LookupReply{Found: true, Trace: encoded}, nil
}

// logRefused logs that a connection to this process was refused.
func (p *process) logRefused(refusal link.Refusal) {
	p.logger.Warn(event.ConnectionRefused, observe.Fields{
		"peer":    refusal.Peer,
		"error":   refusal.Err.Error(),
		"refused": refusal.Total,
	})
}
