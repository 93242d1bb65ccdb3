package view

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Register writes this process's own object into the store, and again whenever the store has
// returned from an older copy without it, until ctx ends. After Leave it removes an object that
// such a return has brought back.
func (v *View) Register(ctx context.Context) error {
	for ctx.Err() == nil {
		v.reconcileOwn(ctx)
		select {
		case <-ctx.Done():
		case delay := <-v.ownOutdated:
			clock.Sleep(ctx, delay)
		}
	}
	return nil
}

// reconcileOwn writes this process's own object or, after Leave, removes it. It retries until it
// succeeds or ctx ends; after a lost response, the next attempt finds what the last one did.
func (v *View) reconcileOwn(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		left := v.left.Load()
		err := v.writeOwn(ctx, left)
		if err == nil && v.left.Load() == left {
			return
		}
		if err != nil {
			v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
			clock.Sleep(ctx, backoff)
			backoff = min(2*backoff, configMaxBackoff)
		}
	}
}

// writeOwn makes one attempt to write this process's own object or, if it has left, to remove it.
func (v *View) writeOwn(ctx context.Context, left bool) error {
	if left {
		return v.leave(ctx)
	}
	return v.register(ctx)
}

// register makes one attempt to write the object. It replaces the object of an earlier incarnation.
func (v *View) register(ctx context.Context) error {
	self := v.options.Self
	spec := memberSpec{Address: self.Address, Incarnation: self.Incarnation, Zone: self.Zone, LinkMbps: self.LinkMbps, Cores: self.Cores}
	stored, err := v.store.Load().Create(ctx, MemberKind, self.Name, spec)
	if fault.Is(err, fault.Conflict) {
		stored, err = v.replace(ctx, stored, spec)
	}
	if err == nil {
		v.ownRevision.Store(stored.Revision)
	}
	return err
}

// replace overwrites the object of an earlier incarnation and keeps one of this incarnation. It reads
// the object only if the store's response to the conflict did not contain it.
func (v *View) replace(ctx context.Context, old replica.Object, spec memberSpec) (replica.Object, error) {
	name := v.options.Self.Name
	if old.Revision == 0 {
		var err error
		if old, err = v.store.Load().Get(ctx, MemberKind, name); err != nil {
			return replica.Object{}, err
		}
	}
	if v.isOwn(old) {
		return old, nil
	}
	return v.store.Load().Replace(ctx, MemberKind, name, old.Revision, spec)
}

// isOwn reports whether an object was written by this incarnation.
func (v *View) isOwn(object replica.Object) bool {
	var spec memberSpec
	err := json.Unmarshal(object.Spec, &spec)
	return err == nil && spec.Incarnation == v.options.Self.Incarnation
}

// registerInterval is the average time between the writes of gateways whose objects the store has
// lost together: half of the least rate of writes that the known sites allow.
const registerInterval = 5 * time.Millisecond

// verifyOwn is called with the members that a store has returned with from an older copy, and the
// number of members whose objects it has lost. It makes Register write this process's own object
// again if that is missing or of an earlier incarnation, or remove it if the process has left.
// Gateways that must write are spread over a time in proportion to their number.
func (v *View) verifyOwn(returned map[string]Member, lost int) {
	own, found := returned[v.options.Self.Name]
	present := found && own.Incarnation == v.options.Self.Incarnation
	if present {
		v.ownRevision.Store(own.Revision)
	}
	if present != v.left.Load() {
		return
	}
	delay := rand.N(time.Duration(1+lost) * registerInterval)
	v.options.Logger.Event(event.RegistrationOutdated, observe.Fields{"member": v.options.Self.Name, "present": present, "lost": lost, "delay_ms": delay.Milliseconds()})
	select {
	case v.ownOutdated <- delay:
	default: // Register has not handled the last return yet
	}
}

// leaveTimeout bounds the removal of this process's own object at a planned stop.
const leaveTimeout = time.Second

// Leave removes this process's own object, so that the others send it no work. A failure is
// only logged: the others then find the process gone when they call it.
func (v *View) Leave(ctx context.Context) {
	v.left.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := v.leave(ctx); err != nil {
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
	}
}

// leave removes this process's own object. It reads the object if its revision is not known or is
// another one, as after the store's return from an older copy. The object of another incarnation
// stays.
func (v *View) leave(ctx context.Context) error {
	if revision := v.ownRevision.Load(); revision != 0 {
		err := v.store.Load().Delete(ctx, MemberKind, v.options.Self.Name, revision)
		if !fault.Is(err, fault.Conflict) {
			return ignoreMissing(err)
		}
	}
	found, err := v.store.Load().Get(ctx, MemberKind, v.options.Self.Name)
	if err != nil {
		return ignoreMissing(err)
	}
	if !v.isOwn(found) {
		return nil
	}
	return ignoreMissing(v.store.Load().Delete(ctx, MemberKind, v.options.Self.Name, found.Revision))
}

// ignoreMissing returns err, or nil if err says that the object does not exist.
func ignoreMissing(err error) error {
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}
