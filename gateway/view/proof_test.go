package view

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
)

// viewOf returns a View with a configuration whose last proof is some time old.
func viewOf(t *testing.T, version int64, age time.Duration) *View {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	v := New(Options{Logger: logger, Source: Source{Store: "127.0.0.1:1", ConfirmWithin: 4500 * time.Millisecond}})
	v.table.Store(routes.NewTable(version, routes.Limits{}, nil, nil, nil))
	v.confirmed.Store(int64(clock.Boot() - age))
	return v
}

// olderThan tells whether the newest proof of a View is at least some time old.
func olderThan(v *View, age time.Duration) bool {
	now, known := v.KeysAge()
	return known && now >= age
}

func TestAnotherProcessProvesTheSameConfiguration(t *testing.T) {
	v := viewOf(t, 7, 4*time.Second)
	v.TakeProof(Proof{Version: 7, Age: time.Second}, clock.Boot())
	assert.Assert(t, !olderThan(v, 3*time.Second) && olderThan(v, time.Second), "as old as there, counted from the question")
	assert.Assert(t, v.mayLean())
}

func TestAProofOfAnOlderConfigurationHoldsForANewerOne(t *testing.T) {
	v := viewOf(t, 8, 4*time.Second)
	v.TakeProof(Proof{Version: 7, Age: time.Second}, clock.Boot())
	assert.Assert(t, !olderThan(v, 3*time.Second), "what was taken away by then is in it")
}

// TestAProofOfANewerConfigurationProvesNothing: keys may have been taken away in it.
func TestAProofOfANewerConfigurationProvesNothing(t *testing.T) {
	v := viewOf(t, 7, 4*time.Second)
	v.leaning.Store(true)
	v.TakeProof(Proof{Version: 8}, clock.Boot())
	assert.Assert(t, olderThan(v, 4*time.Second))
	assert.Assert(t, !v.mayLean())
	assert.Equal(t, len(v.config.restart), 1, "it is fetched at once")
	assert.Assert(t, v.relist.Load())
	v.TakeProof(Proof{Version: 8}, clock.Boot())
	assert.Assert(t, !v.leaning.Load(), "and once only: a call that waits for a slow store is not ended again")
}

func TestAnOlderProofDoesNotReplaceANewerOne(t *testing.T) {
	v := viewOf(t, 7, time.Second)
	v.TakeProof(Proof{Version: 7, Age: 3 * time.Second}, clock.Boot())
	assert.Assert(t, !olderThan(v, 2*time.Second))
}

func TestAProcessFollowsTheStoreItselfWhenNobodyProvesForIt(t *testing.T) {
	assert.Assert(t, !viewOf(t, 7, 0).mayLean(), "nobody has")

	stale := viewOf(t, 7, 4*time.Second)
	stale.TakeProof(Proof{Version: 7, Age: 3 * time.Second}, clock.Boot())
	assert.Assert(t, !stale.mayLean(), "the proof is too old: the other may have lost the store")

	silent := viewOf(t, 7, 0)
	silent.TakeProof(Proof{Version: 7}, clock.Boot()-leanFor)
	assert.Assert(t, !silent.mayLean(), "the other answers no more")

	asked := viewOf(t, 7, 0)
	asked.TakeProof(Proof{Version: 7}, clock.Boot())
	assert.Assert(t, asked.mayLean())
	asked.GiveProof()
	assert.Assert(t, !asked.mayLean(), "others count on it")
}

func TestALongWatchFitsIntoTheTimeForWhichKeysAreTrusted(t *testing.T) {
	v := viewOf(t, 7, 0)
	assert.Equal(t, v.config.longest(), configWait)
	v.TakeProof(Proof{Version: 7}, clock.Boot())
	assert.Equal(t, v.config.longest(), leanWait)
	assert.Assert(t, v.leaning.Load())
	left := v.trustTime() - v.trustTime()/leanShare
	assert.Assert(t, configWait+leanCheck < left, "a short watch comes in time after the last proof that was enough")
}

func TestAProofIsGivenWithItsAge(t *testing.T) {
	_, known := New(Options{}).GiveProof()
	assert.Assert(t, !known)
	proof, known := viewOf(t, 7, time.Second).GiveProof()
	assert.Assert(t, known && proof.Version == 7 && proof.Age >= time.Second)
}
