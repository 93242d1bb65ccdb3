package era

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTheFirstEraIsNoRise(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, !tracker.Hear(0, 0, true))
	assert.Assert(t, !tracker.Hear(5, time.Second, true))
	assert.Assert(t, !tracker.Hear(5, 2*time.Second, true))
	assert.Assert(t, !tracker.Hear(4, 3*time.Second, true))
	assert.Assert(t, !tracker.Hear(0, 3*time.Second, true))
	assert.Assert(t, tracker.Hear(6, 4*time.Second, false))
	assert.Equal(t, tracker.Newest(), int64(6))
	assert.Equal(t, tracker.SettledAt(), 4*time.Second+RewriteTime)
}

func TestAStoreWithoutErasHoldsNoProofOff(t *testing.T) {
	var tracker Tracker
	tracker.CallFailed()
	assert.Equal(t, tracker.Judge(0, time.Second, Uncertain), Settled)
}

// TestJudgement holds the standings of proofs of a process that heard of an era 10 s after its clock's
// start.
func TestJudgement(t *testing.T) {
	const heard = 10 * time.Second
	first := func() *Tracker {
		tracker := &Tracker{}
		tracker.Hear(3, heard, true)
		return tracker
	}
	rising := func() *Tracker {
		tracker := &Tracker{}
		tracker.Hear(2, time.Second, true)
		tracker.Hear(3, heard, true)
		return tracker
	}
	unreached := func() *Tracker {
		tracker := &Tracker{}
		tracker.CallFailed()
		tracker.Hear(3, heard, true)
		return tracker
	}
	reached := func() *Tracker {
		tracker := first()
		tracker.CallFailed()
		return tracker
	}
	const early, late = heard + time.Second, heard + RewriteTime
	for _, tt := range []struct {
		name     string
		tracker  func() *Tracker
		era      int64
		at       time.Duration
		reported Standing
		want     Standing
	}{
		{"first era", first, 3, early, Uncertain, Uncertain},
		{"first era, later", first, 3, late, Uncertain, Settled},
		{"first era, held at the source", first, 3, early, Held, Held},
		{"first era, held at the source, later", first, 3, late, Held, Settled},
		{"first era after failures", unreached, 3, early, Uncertain, Held},
		{"failures in a known era", reached, 3, early, Uncertain, Uncertain},
		{"a rise", rising, 3, early, Uncertain, Held},
		{"a rise, settled at the source", rising, 3, early, Settled, Settled},
		{"a rise, later", rising, 3, late, Uncertain, Settled},
		{"an earlier era", rising, 2, early, Uncertain, Held},
		{"an earlier era, settled at the source", rising, 2, early, Settled, Settled},
	} {
		assert.Equal(t, tt.tracker().Judge(tt.era, tt.at, tt.reported), tt.want, tt.name)
	}
}

// TestAHeldProofTellsAProcessThatTheStoreHasReturned: proofs of its own do not count either then.
func TestAHeldProofTellsAProcessThatTheStoreHasReturned(t *testing.T) {
	var tracker Tracker
	tracker.Hear(3, time.Second, true)
	assert.Equal(t, tracker.Judge(3, 2*time.Second, Held), Held)
	assert.Equal(t, tracker.Judge(3, 2*time.Second, Uncertain), Held)
}

func TestTheStoreAtANewAddressMayHaveAnyEra(t *testing.T) {
	for _, era := range []int64{2, 5, 9} {
		var tracker Tracker
		tracker.Hear(5, time.Second, true)
		tracker.Move()
		tracker.Hear(5, 2*time.Second, false)
		assert.Equal(t, tracker.Hear(era, 3*time.Second, true), era != 5)
		assert.Equal(t, tracker.Newest(), era)
		assert.Assert(t, !tracker.Hear(1, 4*time.Second, true), "once only")
		assert.Equal(t, tracker.Newest(), era)
	}
}

func TestAnEraThatTheStoreContradictsIsForeign(t *testing.T) {
	var tracker Tracker
	tracker.Hear(2, time.Second, true)
	tracker.Hear(7, 10*time.Second, false)
	assert.Assert(t, !tracker.IsForeign(2, 9*time.Second), "the call began before the era was heard")
	assert.Assert(t, !tracker.IsForeign(0, 11*time.Second))
	assert.Assert(t, !tracker.IsForeign(7, 11*time.Second))
	assert.Assert(t, tracker.IsForeign(2, 11*time.Second))
	tracker.Hear(7, 12*time.Second, true)
	assert.Assert(t, !tracker.IsForeign(2, 13*time.Second), "the store itself has reported the era")
}
