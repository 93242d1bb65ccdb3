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

// Register writes this process's own object into the store. It tries until it
// succeeds or ctx ends; a lost answer is resolved by reading the object back.
func (v *View) Register(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		err := v.register(ctx)
		if err == nil {
			return nil
		}
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
		clock.Sleep(ctx, pause)
		pause = min(2*pause, configPause)
	}
	return nil
}

// register makes one try. The object of an earlier start, which a crash left, is replaced.
func (v *View) register(ctx context.Context) error {
	self := v.options.Self
	spec := memberSpec{Address: self.Address, Incarnation: self.Incarnation, Zone: self.Zone, LinkMbps: self.LinkMbps, Cores: self.Cores}
	kept, err := v.store.Load().Create(ctx, MemberKind, self.Name, spec)
	if fault.Is(err, fault.Conflict) {
		kept, err = v.replace(ctx, kept, spec)
	}
	if err == nil {
		v.registered.Store(kept.Revision)
	}
	return err
}

// replace writes over the own object of an earlier start. Its revision is read only if the
// store did not tell it.
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

// leaveTimeout bounds the removal of the own object at a planned stop.
const leaveTimeout = time.Second

// Leave removes this process's own object, so that the others give it no work. What
// fails is logged: the others then find the process gone when they call it.
func (v *View) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := v.leave(ctx); err != nil {
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": v.options.Self.Name, "error": err.Error()})
	}
}

// leave removes the own object. Its revision is read only if the store did not tell it.
func (v *View) leave(ctx context.Context) error {
	name, revision := v.options.Self.Name, v.registered.Load()
	if revision == 0 {
		found, err := v.store.Load().Get(ctx, MemberKind, name)
		if err != nil {
			return err
		}
		revision = found.Revision
	}
	return v.store.Load().Delete(ctx, MemberKind, name, revision)
}
