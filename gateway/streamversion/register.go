package streamversion

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// RegisterKind is the kind of the registers in the store, each stored under the name of its service.
const RegisterKind = "acaciawinch-versions"

const (
	// maxConflicts bounds the writes of one sync that other gateways forestall.
	maxConflicts = 4
	// maxPeersAsked bounds the gateways that one which has just started asks for the versions.
	maxPeersAsked = 3
	// peerTimeout bounds one call to another gateway. The rest is for busy processors: calls take a few
	// milliseconds.
	peerTimeout = 300 * time.Millisecond
)

// registerSpec is the stored form of a register.
type registerSpec struct {
	Settled  bool   `json:"settled"`
	Settling bool   `json:"settling,omitempty"`
	Version  string `json:"version"`
}

// syncCall is one read of a register, and the write that it showed to be needed.
type syncCall struct {
	done chan struct{}
	// found is the register as it was read, before the write; read is set if there was one, changed if it was written.
	found         core.Register
	read, changed bool
	err           error
}

// syncIfNeeded begins a sync if the state needs one and none runs. k.mu must be held.
func (k *Keeper) syncIfNeeded(s *service, now time.Duration) {
	if s.syncing || !s.state.NeedsSync(now) {
		return
	}
	k.startSync(s)
}

// startSync returns the sync that begins after now. k.mu must be held.
func (k *Keeper) startSync(s *service) *syncCall {
	if s.next == nil {
		s.next = &syncCall{done: make(chan struct{})}
	}
	call := s.next
	if !s.syncing {
		s.syncing = true
		go k.runSyncs(s)
	}
	return call
}

// runSyncs runs the syncs that were asked for, one after the other.
func (k *Keeper) runSyncs(s *service) {
	for {
		k.mu.Lock()
		call := s.next
		s.next = nil
		if call == nil {
			s.syncing = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		k.sync(s, call)
		close(call.done)
	}
}

// sync reads the register of a service, writes it if that is needed, and takes the outcome.
func (k *Keeper) sync(s *service, call *syncCall) {
	k.metrics.syncs.Inc(1)
	k.adopt(s)
	for range maxConflicts {
		call.err = k.syncOnce(s, call)
		if !fault.Is(call.err, fault.Conflict) {
			break
		}
	}
	if call.err == nil {
		return
	}
	k.metrics.syncsFailed.Inc(1)
	k.options.Logger.Warn(event.StreamRegisterUnsynced, observe.Fields{"service": s.name, "error": call.err.Error()})
}

// syncOnce is sync without repetition: it returns an error with code Conflict if another gateway wrote between the
// read and the write.
func (k *Keeper) syncOnce(s *service, call *syncCall) error {
	k.mu.Lock()
	listed := s.state.Versions()
	k.mu.Unlock()
	found, revision, err := k.readRegister(s.name)
	if err != nil {
		return err
	}
	k.mu.Lock()
	desired, write := s.state.Desired(clock.Boot(), found, revision)
	k.mu.Unlock()
	if revision == 0 {
		found = desired // streams begin only once there is a register
	} else if !call.read {
		call.found, call.read = found, true
	}
	if write {
		if revision, err = k.writeRegister(s.name, revision, desired); err != nil {
			return err
		}
		call.changed = true
	}
	if revision == 0 {
		return fault.New(fault.Unavailable, "stream.register", s.name, "no upstream of the service is listed")
	}
	if !call.read {
		call.found, call.read = found, true
	}
	k.learned(s, desired, listed, revision)
	return nil
}

// readRegister reads the register of a service. Its revision is 0 if there is none.
func (k *Keeper) readRegister(name string) (core.Register, int64, error) {
	object, err := k.options.Fleet.Store().Get(k.options.Lifetime, RegisterKind, name)
	if fault.Is(err, fault.NotFound) {
		return core.Register{}, 0, nil
	}
	if err != nil {
		return core.Register{}, 0, err
	}
	var spec registerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return core.Register{}, 0, fault.Wrap(fault.Invalid, "stream.register", name, err)
	}
	return core.Register{Settled: spec.Settled, Settling: spec.Settling, Version: spec.Version}, object.Revision, nil
}

// writeRegister creates the register of a service, or replaces it if it has the given revision, and returns
// its new revision.
func (k *Keeper) writeRegister(name string, revision int64, r core.Register) (int64, error) {
	spec := registerSpec{Settled: r.Settled, Settling: r.Settling, Version: r.Version}
	if revision == 0 {
		object, err := k.options.Fleet.Store().Create(k.options.Lifetime, RegisterKind, name, spec)
		return object.Revision, err
	}
	object, err := k.options.Fleet.Store().Replace(k.options.Lifetime, RegisterKind, name, revision, spec)
	return object.Revision, err
}

// learned takes the register of a service.
func (k *Keeper) learned(s *service, r core.Register, listed []string, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, wasSettled := s.state.Settled()
	becameMixed := s.state.Learned(clock.Boot(), r, revision, listed)
	k.publish(s)
	k.logVersions(s, "store", revision)
	if becameMixed {
		k.copyAll(k.begun.All(s.name), nil, "mixed")
	}
	if becameMixed && wasSettled {
		s.mixedAt = clock.Boot()
	}
	if s.state.NeedsSync(clock.Boot()) {
		k.startSync(s) // another version was listed meanwhile
	}
}

// publish makes the versions at which streams may begin visible to Usable. k.mu must be held.
func (k *Keeper) publish(s *service) {
	if !s.state.Known() {
		return
	}
	usable := s.state.Usable()
	before := s.usable.Swap(&usable)
	if before == nil {
		close(s.known)
	}
}

// logVersions logs what is known of a service's versions, if that has changed. k.mu must be held.
func (k *Keeper) logVersions(s *service, source string, revision int64) {
	_, settled := s.state.Settled()
	logged := fmt.Sprint(settled, s.state.Usable(), revision)
	if s.logged == logged {
		return
	}
	s.logged = logged
	k.options.Logger.Event(event.StreamVersionsChanged, observe.Fields{"service": s.name, "settled": settled, "usable": s.state.Usable(),
		"listed": s.state.Versions(), "source": source, "revision": revision})
}

// adopt asks other gateways what they know of a service, if this one knows nothing: the store may be away. It does not
// wait for them.
func (k *Keeper) adopt(s *service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.state.Known() {
		return
	}
	for _, member := range k.memberList[:min(maxPeersAsked, len(k.memberList))] {
		go k.adoptFrom(s, member)
	}
}

// adoptFrom takes what another gateway knows of a service, unless this one has learned something meanwhile.
func (k *Keeper) adoptFrom(s *service, member view.Member) {
	reply, err := k.ask(member, &wirepb.StreamLookup{Service: s.name})
	if err != nil || len(reply.GetUsable()) == 0 {
		return // the store, or another gateway, may tell
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.state.Known() {
		return
	}
	s.state.Adopt(reply.GetSettled(), reply.GetUsable())
	k.publish(s)
	k.logVersions(s, member.Name, 0)
}

// ask makes a lookup at another gateway.
func (k *Keeper) ask(member view.Member, lookup *wirepb.StreamLookup) (*wirepb.StreamLookupReply, error) {
	ctx, cancel := context.WithTimeout(k.options.Lifetime, peerTimeout)
	defer cancel()
	reply, err := wirepb.NewDRPCStreamVersionClient(k.options.Dialer.Conn(ctx, member.Address)).Lookup(ctx, lookup)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "stream.lookup", member.Name, err)
	}
	return reply, nil
}
