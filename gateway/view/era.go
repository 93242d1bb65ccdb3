package view

import (
	"sync"
	"time"

	"acaciawinch/gateway/clock"
)

// Era returns the newest era of the store that this process knows, heard from the store or from
// another gateway; 0 if unknown.
func (v *View) Era() int64 {
	newest, _ := v.era.get()
	return newest
}

// OnEra registers a function to call with the new era each time the store's era rises; learning the
// first era is no rise. The function must not block. OnEra must be called before Read.
func (v *View) OnEra(call func(era int64)) { v.era.onRise(call) }

// hearEra records an era that the store or another gateway has reported; 0 stands for none.
func (v *View) hearEra(era int64) { v.era.hear(era, clock.Boot()) }

// eraTracker holds the newest era of the store. It is safe for concurrent use.
type eraTracker struct {
	mu     sync.Mutex
	newest int64
	// heardAt is the boot time at which this process first heard of the newest era. The era began
	// before it.
	heardAt time.Duration
	calls   []func(era int64)
}

// get returns the newest era and the boot time at which this process first heard of it.
func (t *eraTracker) get() (era int64, heardAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, t.heardAt
}

// onRise registers a function to call at each rise.
func (t *eraTracker) onRise(call func(era int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, call)
}

// hear records an era heard at a boot time, and calls the registered functions if the era has risen.
func (t *eraTracker) hear(era int64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.newest {
		return
	}
	rose := t.newest != 0
	t.newest, t.heardAt = era, at
	if !rose {
		return
	}
	for _, call := range t.calls {
		call(era)
	}
}
