package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/platform/document"
)

// TestProofTimeOfAWatch checks that only a watch that was held for its whole wait and returned
// no change proves more than the state at its beginning.
func TestProofTimeOfAWatch(t *testing.T) {
	const began, wait = 100 * time.Second, 1500 * time.Millisecond
	assert.Equal(t, proofTime(began, began+wait+4*time.Millisecond, wait, 0), began+time.Second)
	assert.Equal(t, proofTime(began, began+700*time.Millisecond, wait, 0), began, "the store ended the wait early")
	assert.Equal(t, proofTime(began, began+wait+time.Second, wait, 1), began, "there were changes")
	assert.Equal(t, proofTime(began, began+time.Second, 300*time.Millisecond, 0), began+200*time.Millisecond, "a late response proves no more than its wait")
}

// TestConfigWatchWaitIsBoundedByTheKeyTrustTime checks that three watches fit into the time for
// which keys are trusted, also where that time is shorter than on the known sites.
func TestConfigWatchWaitIsBoundedByTheKeyTrustTime(t *testing.T) {
	for trusted, wait := range map[time.Duration]time.Duration{
		9 * time.Second:         configWait,
		4500 * time.Millisecond: configWait,
		1500 * time.Millisecond: 500 * time.Millisecond,
	} {
		v := New(Options{Store: StoreOptions{ConfirmWithin: trusted, ApplyWithin: 8 * time.Second}})
		w := v.newWatcher(document.ConfigKind, configWait)
		w.trustDivisor = confirmDivisor
		assert.Equal(t, w.watchWait(), wait, "%v", trusted)
		other := v.newWatcher(document.UpstreamKind, upstreamWait)
		assert.Equal(t, other.watchWait(), upstreamWait, "%v", trusted)
	}
}

// TestConfigWatchWaitIsShortWhileTheStoreFails guards against a long call that was begun during an
// outage and delays the next call to a store that is back.
func TestConfigWatchWaitIsShortWhileTheStoreFails(t *testing.T) {
	v := New(Options{Store: StoreOptions{Store: "127.0.0.1:1", ConfirmWithin: 4500 * time.Millisecond, ApplyWithin: 8 * time.Second}})
	w := v.newWatcher(document.ConfigKind, configWait)
	w.trustDivisor = confirmDivisor
	assert.Equal(t, w.watchWait(), configWait)
	w.lost = true
	assert.Equal(t, w.watchWait(), shortWait)
	w.lost = false
	assert.Equal(t, w.watchWait(), configWait)
}

// TestConfigWatchWaitIsBoundedByTheApplyTime checks that a follower of a reader that has lost the
// store has time to find another source before a change must be in force.
func TestConfigWatchWaitIsBoundedByTheApplyTime(t *testing.T) {
	v := New(Options{Store: StoreOptions{ConfirmWithin: 4500 * time.Millisecond, ApplyWithin: 2 * time.Second}})
	w := v.newWatcher(document.ConfigKind, configWait)
	w.trustDivisor = confirmDivisor
	assert.Equal(t, w.watchWait(), 500*time.Millisecond)
}
