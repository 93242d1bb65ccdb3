// Package lag holds values that become visible to readers some time after they were
// set, like the platform's host list and the engines' load reports.
package lag

import (
	"sync"
	"time"
)

// Value is a value whose changes become visible a fixed time after Set. It is safe for
// concurrent use.
type Value[T any] struct {
	delay time.Duration
	now   func() time.Time

	mu      sync.Mutex
	entries []entry[T]
}

// entry is one value with the time from which it is visible.
type entry[T any] struct {
	visible time.Time
	value   T
}

// New returns a Value that holds initial at once and each later value after delay.
// The clock now is time.Now except in tests.
func New[T any](initial T, delay time.Duration, now func() time.Time) *Value[T] {
	return &Value[T]{
		delay:   delay,
		now:     now,
		entries: []entry[T]{{visible: now(), value: initial}},
	}
}

// Set makes value visible after the delay.
func (v *Value[T]) Set(value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	v.entries = append(v.entries, entry[T]{visible: v.now().Add(v.delay), value: value})
}

// Get returns the newest visible value.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prune()
	return v.entries[0].value
}

// prune drops the entries that a newer visible one supersedes, so that the first entry
// is the visible one. The caller holds mu.
func (v *Value[T]) prune() {
	now := v.now()
	for len(v.entries) > 1 && !v.entries[1].visible.After(now) {
		v.entries = v.entries[1:]
	}
}
