package streamversion

import (
	"context"
	"time"

	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/wire/wirepb"
)

// Server serves a Keeper to the other gateways.
type Server struct {
	wirepb.DRPCStreamVersionUnimplementedServer
	keeper *Keeper
}

// NewServer returns a Server for a Keeper.
func NewServer(keeper *Keeper) *Server { return &Server{keeper: keeper} }

// Record implements wirepb.DRPCStreamVersionServer.
func (s *Server) Record(_ context.Context, m *wirepb.StreamRecords) (*wirepb.StreamRecordsReply, error) {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Boot()
	for _, record := range m.GetRecords() {
		k.held.Put(recordOf(record, now))
		k.hearMixed(record.GetService())
	}
	return &wirepb.StreamRecordsReply{}, nil
}

// hearInterval is the least time between two reads of a register for records of other gateways: while this one is cut
// off from the store, each stream of the others would cause a read that fails.
const hearInterval = time.Second

// hearMixed reads the register of a service of which another gateway copies records, as it is mixed there: the other
// version may have been listed too briefly for this gateway to notice. k.mu must be held.
func (k *Keeper) hearMixed(name string) {
	s := k.service(name)
	s.heard = true
	k.readIfHeard(s, clock.Boot())
}

// readIfHeard is hearMixed for what was heard within hearInterval of a read. k.mu must be held.
func (k *Keeper) readIfHeard(s *service, now time.Duration) {
	if _, settled := s.state.Settled(); !settled {
		s.heard = false
	}
	if !s.heard || s.syncing || now-s.heardAt < hearInterval {
		return
	}
	s.heard, s.heardAt = false, now
	k.startSync(s)
}

// Lookup implements wirepb.DRPCStreamVersionServer.
func (s *Server) Lookup(_ context.Context, m *wirepb.StreamLookup) (*wirepb.StreamLookupReply, error) {
	k := s.keeper
	fresh := k.isFresh()
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := &wirepb.StreamLookupReply{}
	now := clock.Boot()
	key := core.Key{Workspace: m.GetWorkspace(), Attempt: m.GetAttempt()}
	if record, found := k.find(key, now); found {
		reply.Record = recordMessage(record, now)
	}
	if known := k.services[m.GetService()]; known != nil && fresh {
		_, reply.Settled = known.state.Settled()
		reply.Usable = known.state.Usable()
	}
	return reply, nil
}
