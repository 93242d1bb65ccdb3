package view

import (
	"sync"
	"time"

	"acaciawinch/core/era"
	"acaciawinch/core/fault"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/store"
)

// Era returns the newest era of the store that this process knows, heard from the store or from
// another gateway; 0 if unknown.
func (v *View) Era() int64 { return v.era.get() }

// OnEra registers a function to call with the new era each time the store's era rises; learning the
// first era is no rise. The function must not block. OnEra must be called before Read.
func (v *View) OnEra(call func(era int64)) { v.era.onRise(call) }

// HearEra records an era that another gateway has reported; 0 stands for none. It must be called
// before data of that era is applied.
func (v *View) HearEra(era int64) { v.era.hear(era, false) }

// hearStoreEra records the era of a response of the store.
func (v *View) hearStoreEra(era int64) { v.era.hear(era, true) }

// checkEra returns an error if the response to a client's call that began at a boot time is not of the
// newest era: it arrived late, or the store no longer reports its era. Such a response proves nothing, and
// neither does one of the store at an earlier address. If the newest era was only heard from another
// gateway before the call began, that gateway uses another store, as the era of one store never goes
// back: then the response's era counts.
func (v *View) checkEra(client *store.Client, era int64, began time.Duration) error {
	if client != v.store.Load() {
		return fault.New(fault.Unavailable, "view.era", client.Address(), "the store's address has changed")
	}
	if v.era.isForeign(era, began) {
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
	v.proof.recordGap()
	for _, k := range v.replicas {
		k.displace()
	}
	v.audit.forget()
	v.restartWatchers()
}

// eraTracker is an era.Tracker that is safe for concurrent use, and calls functions when the era rises.
type eraTracker struct {
	mu      sync.Mutex
	tracker era.Tracker
	calls   []func(era int64)
}

// get returns the newest era.
func (t *eraTracker) get() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Newest()
}

// onRise registers a function to call at each rise.
func (t *eraTracker) onRise(call func(era int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, call)
}

// hear records an era and calls the registered functions if it has risen. The functions may use t.
func (t *eraTracker) hear(heard int64, fromStore bool) {
	t.mu.Lock()
	rose, calls := t.tracker.Hear(heard, clock.Boot(), fromStore), t.calls
	t.mu.Unlock()
	if !rose {
		return
	}
	for _, call := range calls {
		call(heard)
	}
}

// move makes the era of the next response of the store count, whatever it is.
func (t *eraTracker) move() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Move()
}

// isForeign is era.Tracker.IsForeign.
func (t *eraTracker) isForeign(response int64, began time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.IsForeign(response, began)
}

// callFailed records that the store could not be reached.
func (t *eraTracker) callFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.CallFailed()
}

// settledAt returns the boot time from which on a proof of the newest era is settled.
func (t *eraTracker) settledAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.SettledAt()
}

// judge returns the standing of a proof.
func (t *eraTracker) judge(p Proof) era.Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Judge(p.Era, p.At, p.Standing)
}
