package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/platform/document"
)

// TestAWatchProvesUpToTheEndOfItsWait: only one that was held for its whole wait and
// brought no change is a proof of that time.
func TestAWatchProvesUpToTheEndOfItsWait(t *testing.T) {
	const began, wait = 100 * time.Second, 1500 * time.Millisecond
	assert.Equal(t, provedAt(began, began+wait+4*time.Millisecond, wait, 0), began+time.Second)
	assert.Equal(t, provedAt(began, began+700*time.Millisecond, wait, 0), began, "the store cut the wait short")
	assert.Equal(t, provedAt(began, began+wait+time.Second, wait, 1), began, "there were changes")
	assert.Equal(t, provedAt(began, began+time.Second, 300*time.Millisecond, 0), began+200*time.Millisecond, "a late answer proves no more than its wait")
}

// TestWatchesOfTheConfigurationFitIntoTheTimeForWhichKeysAreTrusted: three fit, also where
// keys must stop sooner than on the sites known.
func TestWatchesOfTheConfigurationFitIntoTheTimeForWhichKeysAreTrusted(t *testing.T) {
	for trusted, wait := range map[time.Duration]time.Duration{
		9 * time.Second:         configWait,
		4500 * time.Millisecond: configWait,
		1500 * time.Millisecond: 500 * time.Millisecond,
	} {
		v := New(Options{Source: Source{ConfirmWithin: trusted, ApplyWithin: 8 * time.Second}})
		f := v.newFollower(document.ConfigKind, configWait)
		f.share = confirmShare
		assert.Equal(t, f.longest(), wait, "%v", trusted)
		other := v.newFollower(document.WorkerKind, upstreamWait)
		assert.Equal(t, other.longest(), upstreamWait, "%v", trusted)
	}
}

// TestALostStoreIsAskedInShortCalls: a call that was begun during a silence of the store ends
// soon, so that the next one finds the store that is back.
func TestALostStoreIsAskedInShortCalls(t *testing.T) {
	v := New(Options{Source: Source{Store: "127.0.0.1:1", ConfirmWithin: 4500 * time.Millisecond, ApplyWithin: 8 * time.Second}})
	f := v.newFollower(document.ConfigKind, configWait)
	f.share = confirmShare
	assert.Equal(t, f.longest(), configWait)
	f.lost = true
	assert.Equal(t, f.longest(), shortWait)
	f.lost = false
	assert.Equal(t, f.longest(), configWait)
}

// TestWatchesOfTheConfigurationFitIntoTheTimeForAChange: who follows a reader that has lost
// the store must find another one before a change has to be in force.
func TestWatchesOfTheConfigurationFitIntoTheTimeForAChange(t *testing.T) {
	v := New(Options{Source: Source{ConfirmWithin: 4500 * time.Millisecond, ApplyWithin: 2 * time.Second}})
	f := v.newFollower(document.ConfigKind, configWait)
	f.share = confirmShare
	assert.Equal(t, f.longest(), 500*time.Millisecond)
}
