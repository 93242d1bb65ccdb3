package replica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// change returns a change of an object.
func change(name string, revision int64) Change {
	return Change{Object: Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprint(revision))}}
}

// filled returns a Replica of revision 10 with objects a and b.
func filled(t *testing.T) *Replica {
	t.Helper()
	r := New()
	_, err := r.Apply(Delta{Reset: true, Revision: 10, Changes: []Change{change("a", 4), change("b", 9)}})
	assert.NilError(t, err)
	return r
}

func TestAnEmptyCopyReturnsNoDelta(t *testing.T) {
	r := New()
	_, found := r.Since(Empty)
	assert.Assert(t, !found && !r.Known())
	_, err := r.Apply(Delta{After: 1, Revision: 2})
	assert.ErrorContains(t, err, "do not fit")
}

func TestChangesThatLeaveAGapAreRefused(t *testing.T) {
	r := filled(t)
	_, err := r.Apply(Delta{After: 11, Revision: 12, Changes: []Change{change("a", 12)}})
	assert.ErrorContains(t, err, "do not fit")
	assert.Equal(t, r.Position().Revision, int64(10))
}

func TestACopyNeverGoesBack(t *testing.T) {
	r := filled(t)
	changed, err := r.Apply(Delta{Reset: true, Revision: 9})
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	assert.Equal(t, r.Size(), 2)
}

func TestARevisionWithoutChangesLeavesTheCopyUnchanged(t *testing.T) {
	r := filled(t)
	changed, err := r.Apply(Delta{After: 10, Revision: 30})
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	assert.Equal(t, r.Position().Revision, int64(30))
	d, found := r.Since(Position{Revision: 10})
	assert.Assert(t, found && !d.Reset && len(d.Changes) == 0 && d.Revision == 30)
}

func TestOldCopiesGetAResetOnceChangesOutnumberObjects(t *testing.T) {
	r := filled(t)
	for revision := int64(11); revision < 15; revision++ {
		_, err := r.Apply(Delta{After: revision - 1, Revision: revision, Changes: []Change{change("a", revision)}})
		assert.NilError(t, err)
	}
	d, found := r.Since(Position{Revision: 13})
	assert.Assert(t, found && !d.Reset && len(d.Changes) == 1)
	d, found = r.Since(Position{Revision: 10})
	assert.Assert(t, found && d.Reset && len(d.Changes) == 2)
}

func TestAResetOfALaterEraReplacesTheCopy(t *testing.T) {
	r := filled(t)
	changed, err := r.Apply(Delta{Reset: true, Era: 1, Revision: 3, Changes: []Change{change("c", 2)}})
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Equal(t, r.Position(), Position{Era: 1, Revision: 3})
	assert.Equal(t, r.Size(), 1)
}

func TestADeltaOfAnEarlierEraChangesNothing(t *testing.T) {
	r := New()
	_, err := r.Apply(Delta{Reset: true, Era: 2, Revision: 3, Changes: []Change{change("c", 2)}})
	assert.NilError(t, err)
	for _, d := range []Delta{
		{Reset: true, Era: 1, Revision: 50, Changes: []Change{change("a", 50)}},
		{Era: 1, After: 3, Revision: 50, Changes: []Change{change("a", 50)}},
		{After: 3, Revision: 50, Changes: []Change{change("a", 50)}},
	} {
		changed, err := r.Apply(d)
		assert.NilError(t, err)
		assert.Assert(t, !changed)
		assert.Equal(t, r.Position(), Position{Era: 2, Revision: 3})
	}
}

func TestChangesOfALaterEraAreRefused(t *testing.T) {
	r := filled(t)
	_, err := r.Apply(Delta{Era: 1, After: 10, Revision: 12, Changes: []Change{change("a", 12)}})
	assert.ErrorContains(t, err, "do not fit")
	assert.Equal(t, r.Position(), Position{Revision: 10})
}

// TestACopyOfAnEarlierEraGetsAReset: the revision of the earlier copy may be below, at or above that of
// the later one.
func TestACopyOfAnEarlierEraGetsAReset(t *testing.T) {
	r := New()
	_, err := r.Apply(Delta{Reset: true, Era: 2, Revision: 3, Changes: []Change{change("c", 2)}})
	assert.NilError(t, err)
	_, err = r.Apply(Delta{Era: 2, After: 3, Revision: 9, Changes: []Change{change("c", 9)}})
	assert.NilError(t, err)
	for _, revision := range []int64{3, 5, 9, 40} {
		d, found := r.Since(Position{Era: 1, Revision: revision})
		assert.Assert(t, found && d.Reset && d.Era == 2, "revision %d", revision)
		_, found = r.Since(Position{Era: 3, Revision: revision})
		assert.Assert(t, !found, "a later era, revision %d", revision)
	}
	d, found := r.Since(Position{Era: 2, Revision: 5})
	assert.Assert(t, found && !d.Reset && d.Era == 2 && len(d.Changes) == 1)
}

func TestADisplacedCopyTakesAnyReset(t *testing.T) {
	r := filled(t)
	r.Displace()
	assert.Equal(t, r.Position(), Empty)
	assert.Equal(t, r.Size(), 2, "its objects stay")
	_, found := r.Since(Empty)
	assert.Assert(t, !found)
	_, err := r.Apply(Delta{After: 10, Revision: 12})
	assert.ErrorContains(t, err, "do not fit")
	_, err = r.Apply(Delta{Reset: true, Revision: 2})
	assert.NilError(t, err)
	assert.Equal(t, r.Position(), Position{Revision: 2})
}

// TestChainedCopiesMatchTheStore: over random chains, with deltas that overlap or arrive late or
// twice, each copy holds the store's state at the copy's revision.
func TestChainedCopiesMatchTheStore(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		store, states := New(), map[int64]map[string]Object{}
		_, err := store.Apply(Delta{Reset: true, Revision: 1})
		assert.NilError(t, err)
		copies := []*Replica{store, New(), New(), New()}
		var sent []Delta
		for revision := int64(2); revision < 60; revision++ {
			next := change(fmt.Sprint("o", random.IntN(6)), revision)
			next.Deleted = random.IntN(4) == 0
			_, err := store.Apply(Delta{After: revision - 1, Revision: revision, Changes: []Change{next}})
			assert.NilError(t, err)
			states[revision] = cloned(store.objects)
			to := copies[1+random.IntN(3)]
			from := copies[random.IntN(len(copies))]
			if d, found := from.Since(to.Position()); found {
				sent = append(sent, d)
				applyAndCompare(t, to, d, states)
			}
			if len(sent) > 0 && random.IntN(2) == 0 {
				d := sent[random.IntN(len(sent))]
				if d.Reset || to.known && d.After <= to.at.Revision {
					applyAndCompare(t, to, d, states)
				}
			}
		}
	}
}

// applyAndCompare applies a delta and compares the copy with the store's state at that revision.
func applyAndCompare(t *testing.T, to *Replica, d Delta, states map[int64]map[string]Object) {
	t.Helper()
	_, err := to.Apply(d)
	assert.NilError(t, err)
	if want, known := states[to.at.Revision]; known {
		assert.DeepEqual(t, to.objects, want)
	}
}

// cloned returns a copy of a map.
func cloned(objects map[string]Object) map[string]Object {
	clone := make(map[string]Object, len(objects))
	for name, object := range objects {
		clone[name] = object
	}
	return clone
}
