package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
)

// entry returns the entry of an upstream as of a revision.
func entry(name, state string, born, revision int64) replica.Object {
	object := upstreamObject(name, state, born)
	object.Revision = revision
	return object
}

// returnFromCopy makes the store return from a copy that lists some objects.
func returnFromCopy(f *upstreamReceiver, era int64, listed ...replica.Object) {
	f.EraChanged(era)
	f.Reset(listed)
}

// apply applies the change of one entry.
func (r *upstreamReceiver) apply(object replica.Object) {
	r.Apply([]replica.Change{{Object: object}})
}

// remove applies the removal of an entry.
func (r *upstreamReceiver) remove(object replica.Object) {
	r.Apply([]replica.Change{{Object: object, Deleted: true}})
}

// takesWork reports whether an upstream gets work.
func takesWork(v *View, id string) bool {
	upstream, known := v.Upstreams().Find(id)
	return known && upstream.TakesWork(time.Now())
}

// TestAnUpstreamThatLeavesGetsNothingOnceTheStoreHasForgottenIt: until its entry is written again, what it
// announced before the store returned from a copy counts.
func TestAnUpstreamThatLeavesGetsNothingOnceTheStoreHasForgottenIt(t *testing.T) {
	f, v := newTestReceiver(t)
	f.Reset([]replica.Object{entry("a", "ready", 1, 40), entry("b", "ready", 1, 41)})
	f.apply(entry("a", "draining", 1, 60))
	returnFromCopy(f, 2, entry("a", "ready", 1, 40), entry("b", "ready", 1, 41))
	assert.Assert(t, !takesWork(v, "a"), "the first list")
	assert.Assert(t, takesWork(v, "b"))
	f.apply(entry("b", "ready", 1, 45))
	assert.Assert(t, !takesWork(v, "a"), "another entry changes")
	f.Reset([]replica.Object{entry("a", "ready", 1, 40), entry("b", "ready", 1, 45)})
	assert.Assert(t, !takesWork(v, "a"), "another list")
	returnFromCopy(f, 3, entry("a", "ready", 1, 40))
	assert.Assert(t, !takesWork(v, "a"), "another return")
	f.apply(entry("a", "draining", 1, 46))
	assert.Assert(t, !takesWork(v, "a"), "written again")
	f.apply(entry("a", "ready", 1, 47))
	assert.Assert(t, takesWork(v, "a"), "the operator takes the drain back")
}

// TestAnEntryWrittenAfterTheReturnCounts: an operator may take a drain back in the new era.
func TestAnEntryWrittenAfterTheReturnCounts(t *testing.T) {
	for name, write := range map[string]func(f *upstreamReceiver){
		"in a change":             func(f *upstreamReceiver) { f.apply(entry("a", "ready", 1, 42)) },
		"in a list":               func(f *upstreamReceiver) { f.Reset([]replica.Object{entry("a", "ready", 1, 42)}) },
		"of the next incarnation": func(f *upstreamReceiver) { f.apply(entry("a", "ready", 2, 42)) },
	} {
		f, v := newTestReceiver(t)
		f.Reset([]replica.Object{entry("a", "draining", 1, 60)})
		returnFromCopy(f, 2, entry("a", "ready", 1, 40), entry("b", "ready", 1, 41))
		assert.Assert(t, !takesWork(v, "a"), name)
		write(f)
		assert.Assert(t, takesWork(v, "a"), name)
	}
}

// TestAnUpstreamWhoseEntryWasRemovedGetsNothingWhenACopyListsIt: an upstream that has left serves on for a
// while without an entry.
func TestAnUpstreamWhoseEntryWasRemovedGetsNothingWhenACopyListsIt(t *testing.T) {
	a, b := entry("a", "ready", 0, 40), entry("b", "ready", 0, 41)
	for name, remove := range map[string]func(f *upstreamReceiver){
		"by a change": func(f *upstreamReceiver) { f.remove(entry("a", "ready", 0, 60)) },
		"by a list":   func(f *upstreamReceiver) { f.Reset([]replica.Object{b}) },
	} {
		f, v := newTestReceiver(t)
		f.Reset([]replica.Object{a, b})
		remove(f)
		returnFromCopy(f, 2, a, b)
		assert.Assert(t, !takesWork(v, "a") && takesWork(v, "b"), name)
		returnFromCopy(f, 3, a, b)
		assert.Assert(t, !takesWork(v, "a") && takesWork(v, "b"), name)
	}
}

// TestAHeldUpstreamThatIsStillListedGetsWorkAgain: the store removes the entry of an upstream that has ended.
func TestAHeldUpstreamThatIsStillListedGetsWorkAgain(t *testing.T) {
	f, v := newTestReceiver(t)
	a, b := entry("a", "ready", 0, 40), entry("b", "ready", 0, 41)
	f.Reset([]replica.Object{a, b})
	f.remove(a)
	f.apply(entry("b", "draining", 0, 61))
	began := time.Now()
	returnFromCopy(f, 2, a, b)
	f.expireHoldsAt(began.Add(removedHold - time.Second))
	assert.Assert(t, !takesWork(v, "a") && !takesWork(v, "b"))
	f.expireHoldsAt(time.Now().Add(removedHold))
	assert.Assert(t, takesWork(v, "a") && !takesWork(v, "b"))
	f.expireHoldsAt(time.Now().Add(leavingHold))
	assert.Assert(t, takesWork(v, "b"))
}

// TestAnUpstreamThatLeftBeforeItsEntryWasRemovedLeavesForGood: the removal does not take back what it
// announced.
func TestAnUpstreamThatLeftBeforeItsEntryWasRemovedLeavesForGood(t *testing.T) {
	f, v := newTestReceiver(t)
	f.Reset([]replica.Object{entry("a", "draining", 0, 60)})
	f.remove(entry("a", "draining", 0, 61))
	returnFromCopy(f, 2, entry("a", "ready", 0, 40))
	f.expireHoldsAt(time.Now().Add(removedHold))
	assert.Assert(t, !takesWork(v, "a"))
	f.remove(entry("a", "ready", 0, 45))
	returnFromCopy(f, 3, entry("a", "ready", 0, 40))
	f.expireHoldsAt(time.Now().Add(removedHold))
	assert.Assert(t, !takesWork(v, "a"), "removed as ready from the copy")
}

// TestAnEntryThatExpiredInAnOutageIsUsedOnceItIsBack: an upstream that runs writes its entry again.
func TestAnEntryThatExpiredInAnOutageIsUsedOnceItIsBack(t *testing.T) {
	f, v := newTestReceiver(t)
	a := entry("a", "ready", 0, 40)
	f.Reset([]replica.Object{a})
	f.remove(a)
	f.apply(entry("a", "ready", 0, 50))
	assert.Assert(t, takesWork(v, "a"), "in the same era")
	returnFromCopy(f, 2)
	assert.Assert(t, !v.Upstreams().Knows("a"))
	f.apply(entry("a", "ready", 0, 45))
	assert.Assert(t, takesWork(v, "a"), "missing in the copy")
	returnFromCopy(f, 3, entry("a", "ready", 0, 45))
	assert.Assert(t, takesWork(v, "a"), "known before the return")
}

// TestACopyDoesNotBringAnEarlierIncarnationBack: an incarnation that another one has replaced has ended.
func TestACopyDoesNotBringAnEarlierIncarnationBack(t *testing.T) {
	f, v := newTestReceiver(t)
	f.Reset([]replica.Object{entry("a", "ready", 9, 60)})
	returnFromCopy(f, 2, entry("a", "ready", 8, 40))
	upstream, known := v.Upstreams().Find("a")
	assert.Assert(t, known && upstream.Incarnation == 9)
	f.remove(entry("a", "ready", 8, 61))
	assert.Assert(t, !v.Upstreams().Knows("a"), "the store removes the entry")
}

// TestAnEntryThatMayBeMissingInACopyTellsNothing: an upstream that runs writes the entry again that the store
// has lost.
func TestAnEntryThatMayBeMissingInACopyTellsNothing(t *testing.T) {
	f, v := newTestReceiver(t)
	confirmAt(v, 0)
	f.Reset([]replica.Object{entry("a", "ready", 1, 60)})
	a, _ := v.Upstreams().Find("a")
	returnFromCopy(f, 2)
	assert.Assert(t, !v.Leaves(a))
	v.proof.gapEnded -= entryRestoreTime
	assert.Assert(t, v.Leaves(a))
}

// TestEachReturnBeginsAHoldAnew: the store may return from copies in a row.
func TestEachReturnBeginsAHoldAnew(t *testing.T) {
	d, start := newDepartures(), time.Unix(1000, 0)
	a := routes.Upstream{ID: "a"}
	d.recordRemoval(a, start)
	d.beginEra(nil, start)
	again := start.Add(removedHold - time.Second)
	d.beginEra(nil, again)
	assert.Equal(t, len(d.expire(start.Add(removedHold))), 0)
	assert.Assert(t, d.holds(a))
	assert.Equal(t, len(d.expire(again.Add(removedHold))), 1)
	assert.Assert(t, !d.holds(a))
}
