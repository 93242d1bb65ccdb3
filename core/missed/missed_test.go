package missed

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
)

// modelStore makes changes of random kinds under consecutive revisions.
type modelStore struct {
	revision int64
	// changes holds the revisions of the changes of each kind.
	changes map[string][]int64
}

// since returns the revisions of the changes of a kind after a revision.
func (s *modelStore) since(kind string, after int64) []int64 {
	var found []int64
	for _, revision := range s.changes[kind] {
		if revision > after {
			found = append(found, revision)
		}
	}
	return found
}

// TestNoMissedChangeStaysHidden plays watches of which some calls and answers get lost: as soon as another
// answer names a revision above a change that was not returned, that kind has missed it. A kind is not
// taken to have missed a change if all changes were returned.
func TestNoMissedChangeStaysHidden(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		kinds := []string{"a", "b", "c"}
		store := &modelStore{revision: 10, changes: make(map[string][]int64)}
		ledger := New()
		at := map[string]int64{"a": 10, "b": 10, "c": 10}
		for _, kind := range kinds {
			ledger.Began(kind, replica.Position{Revision: 10})
		}
		for range 200 {
			kind := kinds[random.IntN(len(kinds))]
			switch random.IntN(3) {
			case 0:
				store.revision++
				store.changes[kind] = append(store.changes[kind], store.revision)
			case 1: // the call or its answer gets lost, and is made again
				ledger.Began(kind, replica.Position{Revision: at[kind]})
			default:
				found := store.since(kind, at[kind])
				at[kind] = store.revision
				ledger.Answered(kind, replica.Position{Revision: store.revision}, found)
				ledger.Began(kind, replica.Position{Revision: store.revision})
			}
			returnedAll := true
			for _, other := range kinds {
				if pending := store.since(other, at[other]); len(pending) > 0 && pending[0] <= ledger.Newest() {
					returnedAll = false
					assert.Assert(t, ledger.Missed(other, ledger.Newest()), "seed %d: %s has missed %v", seed, other, pending)
				}
			}
			for _, other := range kinds {
				assert.Assert(t, !returnedAll || !ledger.Missed(other, ledger.Newest()), "seed %d: %s has missed nothing", seed, other)
			}
		}
	}
}

// TestAnAnswerWithoutChangesProvesWhatWasKnownAtItsCall: a watch that is made again and brings nothing is not made again
// for the same changes, whatever revision its answer names.
func TestAnAnswerWithoutChangesProvesWhatWasKnownAtItsCall(t *testing.T) {
	l := New()
	l.Began("a", replica.Position{Revision: 5})
	l.Began("b", replica.Position{Revision: 5})
	l.Answered("b", replica.Position{Revision: 9}, nil) // changes of a kind that nobody watches
	assert.Assert(t, l.Missed("a", 9))
	l.Began("a", replica.Position{Revision: 5})
	l.Answered("a", replica.Position{Revision: 5}, nil)
	assert.Assert(t, !l.Missed("a", 9) && l.Missed("a", 10) && !l.Missed("unknown", 9))
}

// TestAnEraForgetsTheRevisionsOfTheOneBefore: after a return from a copy the store gives revisions out again.
func TestAnEraForgetsTheRevisionsOfTheOneBefore(t *testing.T) {
	l := New()
	l.Began("a", replica.Position{Era: 1, Revision: 50})
	l.Answered("a", replica.Position{Era: 1, Revision: 60}, []int64{60})
	l.Began("a", replica.Position{Era: 2, Revision: 40})
	assert.Equal(t, l.Newest(), int64(40))
	l.Began("b", replica.Position{Era: 1, Revision: 60})
	l.Answered("b", replica.Position{Era: 1, Revision: 70}, nil)
	assert.Assert(t, l.Newest() == 40 && !l.Missed("b", 70))
}

// TestTheLedgerStaysSmall: a kind whose watch is not answered must not let it grow without bound, and still counts as missed.
func TestTheLedgerStaysSmall(t *testing.T) {
	l := New()
	l.Began("a", replica.Position{})
	l.Began("b", replica.Position{})
	for revision := range int64(3 * maxSeen) {
		l.Answered("b", replica.Position{Revision: revision + 1}, []int64{revision + 1})
	}
	assert.Assert(t, len(l.seen) <= maxSeen && l.Missed("a", l.Newest()), fmt.Sprint(len(l.seen)))
}
