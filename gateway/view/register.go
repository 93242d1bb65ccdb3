package view

import (
	"context"
	"time"

	"acaciawinch/core/fault"
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
		wait, cancel := context.WithTimeout(ctx, pause)
		<-wait.Done()
		cancel()
		pause = min(2*pause, longestPause)
	}
	return nil
}

// register makes one try.
func (v *View) register(ctx context.Context) error {
	self := v.options.Self
	spec := memberSpec{Address: self.Address, Incarnation: self.Incarnation}
	err := v.store.Load().Create(ctx, MemberKind, self.Name, spec)
	if !fault.Is(err, fault.Conflict) {
		return err
	}
	old, err := v.store.Load().Get(ctx, MemberKind, self.Name)
	if err != nil {
		return err
	}
	return v.store.Load().Replace(ctx, MemberKind, self.Name, old.Revision, spec)
}

// leaveTimeout bounds the removal of the own object at a planned stop.
const leaveTimeout = time.Second

// Leave removes this process's own object, so that the others give it no work. What
// fails is logged: the others then find the process gone when they call it.
func (v *View) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	self := v.options.Self
	found, err := v.store.Load().Get(ctx, MemberKind, self.Name)
	if err == nil {
		err = v.store.Load().Delete(ctx, MemberKind, self.Name, found.Revision)
	}
	if err != nil {
		v.options.Logger.Warn(event.RegisterFailed, observe.Fields{"member": self.Name, "error": err.Error()})
	}
}
