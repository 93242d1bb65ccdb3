package view

import (
	"sync"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Era returns the newest era of the store that this process knows, heard from the store or from
// another gateway; 0 if unknown.
func (v *View) Era() int64 { return v.era.get() }

// OnEra registers a function to call with the new era each time the store's era rises; learning the
// first era is no rise. The function must not block. OnEra must be called before Read.
func (v *View) OnEra(call func(era int64)) { v.era.onRise(call) }

// HearEra records an era that another gateway has reported; 0 stands for none. It must be called
// before data of that era is applied.
func (v *View) HearEra(era int64) {
	if call := v.era.hear(era, clock.Boot(), false); call != nil {
		call()
	}
}

// hearStoreEra records the era of a response of the store.
func (v *View) hearStoreEra(era int64) {
	if call := v.era.hear(era, clock.Boot(), true); call != nil {
		call()
	}
}

// checkEra returns an error if the response to a call that began at a boot time is not of the newest
// era: it arrived late, or the store no longer reports its era. Such a response proves nothing. If the
// newest era was only heard from another gateway before the call began, that gateway uses another
// store, as the era of one store never goes back: then the response's era counts.
func (v *View) checkEra(era int64, began time.Duration) error {
	if v.era.foreignSince(era, began) {
		v.options.Logger.Warn(event.StoreEraForeign, observe.Fields{"era": era, "heard": v.Era()})
		v.moveStore()
		v.hearStoreEra(era)
	}
	if newest := v.Era(); era != newest {
		return fault.New(fault.Unavailable, "view.era", "", "a response of era %d, but the store's newest era is %d", era, newest)
	}
	return nil
}

// moveStore makes the copies and the era give way to those of another store: the next list of each
// kind replaces the copy.
func (v *View) moveStore() {
	v.era.move()
	v.proof.forgetRead()
	for _, k := range v.replicas {
		k.displace()
	}
	v.restartWatchers()
}

// eraTracker holds the newest era of the store. It is safe for concurrent use.
type eraTracker struct {
	mu     sync.Mutex
	newest int64
	// heardAt is the boot time at which this process first heard of the newest era. The era began
	// before it.
	heardAt time.Duration
	// fromStore is set once the store itself has reported the newest era.
	fromStore bool
	// moved is set until the store at a new address has reported its era, which may be any.
	moved bool
	calls []func(era int64)
}

// get returns the newest era.
func (t *eraTracker) get() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// onRise registers a function to call at each rise.
func (t *eraTracker) onRise(call func(era int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, call)
}

// hear records an era heard at a boot time. If the era has risen, hear returns a function that calls
// the registered ones.
func (t *eraTracker) hear(era int64, at time.Duration, fromStore bool) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	moved := t.moved && fromStore && era > 0
	if moved {
		t.moved = false
	}
	switch {
	case era == t.newest:
		t.fromStore = t.fromStore || fromStore
		return nil
	case era < t.newest && !moved:
		return nil
	}
	rose := t.newest != 0
	t.newest, t.heardAt, t.fromStore = era, at, fromStore
	if !rose {
		return nil
	}
	calls := t.calls
	return func() {
		for _, call := range calls {
			call(era)
		}
	}
}

// move makes the era of the next response of the store count, whatever it is.
func (t *eraTracker) move() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved = t.newest != 0
}

// foreignSince reports whether the newest era is that of another store, as the store's own response to
// a call that began at a boot time shows.
func (t *eraTracker) foreignSince(era int64, began time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return era > 0 && era < t.newest && !t.fromStore && t.heardAt < began
}
