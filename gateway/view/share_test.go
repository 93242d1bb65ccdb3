package view

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/observe"
	"acaciawinch/platform/document"
)

// empty returns a View that knows nothing.
func empty(t *testing.T) *View {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	return New(Options{Logger: logger, Self: Member{Name: "self"}, Source: Source{ConfirmWithin: 4500 * time.Millisecond}})
}

// feed lets one View take all that another one knows and it lacks.
func feed(t *testing.T, from, to *View) {
	t.Helper()
	deltas, _, _ := from.Since(to.Positions())
	for _, d := range deltas {
		assert.NilError(t, to.Take(d))
	}
}

// member returns the object of a gateway.
func member(name string, revision int64) replica.Change {
	spec := json.RawMessage(`{"address":"10.0.0.1:7000","incarnation":"i-` + name + `","zone":"z1","link_mbps":20}`)
	return replica.Change{Object: replica.Object{Name: name, Revision: revision, Spec: spec}}
}

// TestAViewThatIsFedKnowsWhatItsSourceKnows: whole lists first, then what changes.
func TestAViewThatIsFedKnowsWhatItsSourceKnows(t *testing.T) {
	source, follower := empty(t), empty(t)
	feed(t, source, follower)
	assert.Equal(t, len(follower.Members()), 0)
	assert.NilError(t, source.kind(MemberKind).take(replica.Delta{Reset: true, Revision: 5, Changes: []replica.Change{member("a", 4), member("b", 5)}}))
	feed(t, source, follower)
	assert.Equal(t, len(follower.Members()), 2)
	assert.DeepEqual(t, follower.Members()[0], Member{Name: "a", Address: "10.0.0.1:7000", Incarnation: "i-a", Zone: "z1", LinkMbps: 20, Revision: 4})
	gone := member("a", 7)
	gone.Deleted = true
	assert.NilError(t, source.kind(MemberKind).take(replica.Delta{After: 5, Revision: 7, Changes: []replica.Change{gone}}))
	feed(t, source, follower)
	assert.Equal(t, len(follower.Members()), 1)
	deltas, _, _ := source.Since(follower.Positions())
	assert.Equal(t, len(deltas), 0, "nothing is told twice")
}

func TestKindsOfAnotherVersionArePassedOver(t *testing.T) {
	v := empty(t)
	assert.NilError(t, v.Take(KindDelta{Kind: "unheard-of", Delta: replica.Delta{Reset: true, Revision: 3}}))
	deltas, _, _ := v.Since([]Position{{Kind: "unheard-of", Revision: -1}})
	assert.Equal(t, len(deltas), 0)
}

// TestAProofIsNeverReplacedByAnOlderOne: words of two sources may come in any order.
func TestAProofIsNeverReplacedByAnOlderOne(t *testing.T) {
	v := empty(t)
	_, known := v.Proof()
	assert.Assert(t, !known)
	v.Confirm(Proof{At: 9 * time.Second, Hops: 1, From: "g1"})
	v.Confirm(Proof{At: 8 * time.Second, From: FromStore})
	newest, _ := v.Proof()
	assert.DeepEqual(t, newest, Proof{At: 9 * time.Second, Hops: 1, From: "g1"})
}

// TestFollowersAreWokenByChangesAndProofs.
func TestFollowersAreWokenByChangesAndProofs(t *testing.T) {
	v := empty(t)
	changed := v.Changed()
	assert.NilError(t, v.kind(document.WorkerKind).take(replica.Delta{Reset: true, Revision: 1}))
	<-changed
	changed = v.Changed()
	v.Confirm(Proof{At: time.Second})
	<-changed
}
