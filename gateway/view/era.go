package view

import (
	"sync"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// rewriteTime is the time after the store's return from an older copy within which what the store
// lost is written again: the operator and the upstreams take about two seconds, and half a second is
// left for their calls.
const rewriteTime = 2500 * time.Millisecond

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
	v.proof.recordGap()
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
	// returned is set if the newest era began less than rewriteTime before heardAt, as far as this
	// process can tell: it knew an earlier era, could not reach the store before, or another gateway
	// says so. Otherwise the store has probably run for long.
	returned bool
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
	t.returned = t.returned || rose
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

// suspectReturn records that the present era, or the first one if none is known yet, may have begun
// less than rewriteTime before this process heard of it.
func (t *eraTracker) suspectReturn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returned = true
}

// settledAt returns the boot time from which on a proof shows that what the store lost at its last
// return was written again.
func (t *eraTracker) settledAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settledAtLocked()
}

// settledAtLocked is settledAt for callers that hold t.mu.
func (t *eraTracker) settledAtLocked() time.Duration {
	if t.newest == 0 {
		return 0
	}
	return t.heardAt + rewriteTime
}

// judge sets Settled and Held of a proof by what this process knows of its era. A proof of an earlier
// era counts only if it has been found settled: a further return of the store may have followed too soon.
func (t *eraTracker) judge(p Proof) Proof {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := p.Era == t.newest
	if present && p.Held {
		t.returned = true
	}
	p.Settled = p.Settled || present && p.At >= t.settledAtLocked()
	p.Held = !p.Settled && (!present || t.returned)
	return p
}
