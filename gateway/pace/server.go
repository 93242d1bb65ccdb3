package pace

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/pace"
	"acaciawinch/wire/wirepb"
)

// Server serves a Keeper to the other gateways.
type Server struct {
	wirepb.DRPCEnginePaceUnimplementedServer
	keeper *Keeper
}

// NewServer returns a Server for a Keeper, which may be nil.
func NewServer(keeper *Keeper) *Server { return &Server{keeper: keeper} }

// Exchange implements wirepb.DRPCEnginePaceServer.
func (s *Server) Exchange(_ context.Context, digest *wirepb.PaceDigest) (*wirepb.PaceTable, error) {
	if s.keeper == nil {
		return nil, fault.New(fault.Refused, "pace.exchange", "", "load.engine_pace is off")
	}
	return s.keeper.merge(digest, time.Now()), nil
}

// merge adds a gateway's observations to those of all, and returns the values that the gateway lacks. Engines that
// are not listed are left out, which bounds what is kept.
func (k *Keeper) merge(digest *wirepb.PaceDigest, now time.Time) *wirepb.PaceTable {
	k.mu.Lock()
	defer k.mu.Unlock()
	service, self := digest.GetService(), k.options.Self.Incarnation
	upstreams := k.options.Fleet.Upstreams()
	if upstreams == nil || len(upstreams.Of(service)) == 0 {
		return &wirepb.PaceTable{Holder: self}
	}
	merger := k.mergers[service]
	if merger == nil {
		merger = core.NewMerger()
		k.mergers[service] = merger
	}
	listed := listedIn(upstreams)
	observed := slices.DeleteFunc(summariesOf(digest.GetObservations()), func(s core.Summary) bool { return !listed(s.Engine) })
	merger.Merge(observed, now)
	known := digest.GetTable()
	if digest.GetHolder() != self {
		known = 0
	}
	return &wirepb.PaceTable{Engines: messagesOf(merger.Since(known, now)), Table: merger.Number(), Holder: self}
}
