package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/entry/trace"
	"acaciawinch/feed"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// lookupTimeout bounds the question to another entry.
const lookupTimeout = 500 * time.Millisecond

// fleetServer serves the drpc Entry service to the other processes.
type fleetServer struct {
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

// finder finds traces here or at the entry that a request id names.
type finder struct {
	name   string
	feed   *feed.Feed
	traces *trace.Ring
	dialer *link.Dialer
}

// Trace returns the trace of id from here or from the entry that the id names.
func (f *finder) Trace(ctx context.Context, id core.RequestID) (trace.Trace, bool) {
	if found, ok := f.traces.Get(id); ok {
		return found, true
	}
	addr, ok := f.addressOf(id)
	if !ok {
		return trace.Trace{}, false
	}
	return f.ask(ctx, addr, id)
}

// addressOf returns the address of the other entry that id names.
func (f *finder) addressOf(id core.RequestID) (string, bool) {
	cut := strings.LastIndexByte(string(id), '-')
	state := f.feed.State()
	if cut < 0 || state == nil {
		return "", false
	}
	name := string(id)[:cut]
	for _, host := range state.Hosts() {
		if host.Role == fleet.RoleEntry && host.Name == name && name != f.name {
			return host.Addr, true
		}
	}
	return "", false
}

// ask asks another entry for a trace.
func (f *finder) ask(ctx context.Context, addr string, id core.RequestID) (trace.Trace, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	conn := f.dialer.Conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	reply, err := wirepb.NewDRPCEntryClient(conn).Lookup(ctx, &wirepb.LookupRequest{RequestId: string(id)})
	if err != nil || !reply.GetFound() {
		return trace.Trace{}, false
	}
	var found trace.Trace
	if err := json.Unmarshal(reply.GetTrace(), &found); err != nil {
		return trace.Trace{}, false
	}
	return found, true
}

// Find implements callers.Finder.
func (f *finder) Find(ctx context.Context, _, _ string, id core.RequestID, _ string) (trace.Trace, bool) {
	return f.Trace(ctx, id)
}
