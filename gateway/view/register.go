package view

import (
	"context"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Register writes this process's own object into the store. It retries until it succeeds or
// ctx ends; after a lost response, the next attempt finds the object and replaces it.
func (v *View) Register(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := v.register(ctx)
		if err == nil {
			return nil
		}
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, configMaxBackoff)
	}
	return nil
}

// register makes one attempt to write the object. It replaces the object that a crashed earlier
// incarnation left.
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

// replace overwrites the object of an earlier incarnation. It reads the object's revision only
// if the store's response to the conflict did not contain it.
func (v *View) replace(ctx context.Context, old replica.Object, spec memberSpec) (replica.Object, error) {
	name := v.options.Self.Name
	if old.Revision == 0 {
		var err error
		if old, err = v.store.Load().Get(ctx, MemberKind, name); err != nil {
			return replica.Object{}, err
		}
	}
	return v.store.Load().Replace(ctx, MemberKind, name, old.Revision, spec)
}

// leaveTimeout bounds the removal of this process's own object at a planned stop.
const leaveTimeout = time.Second

// Leave removes this process's own object, so that the others send it no work. A failure is
// only logged: the others then find the process gone when they call it.
func (v *View) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := v.leave(ctx); err != nil {
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
	}
}

// leave removes this process's own object. It reads the object's revision only if the revision is
// not known.
func (v *View) leave(ctx context.Context) error {
	name, revision := v.options.Self.Name, v.ownRevision.Load()
	if revision == 0 {
		found, err := v.store.Load().Get(ctx, MemberKind, name)
		if err != nil {
			return err
		}
		revision = found.Revision
	}
	return v.store.Load().Delete(ctx, MemberKind, name, revision)
}
