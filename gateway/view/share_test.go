package view

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/era"
	"acaciawinch/core/replica"
	"acaciawinch/observe"
	"acaciawinch/platform/document"
)

// newTestView returns a View without data.
func newTestView(t *testing.T) *View {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	return New(Options{Logger: logger, Self: Member{Name: "self"}, Store: StoreOptions{ConfirmWithin: 4500 * time.Millisecond}})
}

// syncViews applies to one View all that it lacks of another.
func syncViews(t *testing.T, from, to *View) {
	t.Helper()
	deltas, _, _ := from.DeltasSince(to.Positions())
	for _, d := range deltas {
		assert.NilError(t, to.ApplyDelta(d))
	}
}

// memberChange returns a change that adds a gateway's object.
func memberChange(name string, revision int64) replica.Change {
	spec := json.RawMessage(`{"address":"10.0.0.1:7000","incarnation":"i-` + name + `","zone":"z1","link_mbps":20}`)
	return replica.Change{Object: replica.Object{Name: name, Revision: revision, Spec: spec}}
}

// TestFollowerReceivesWhatItsSourceHolds checks whole lists first, then changes.
func TestFollowerReceivesWhatItsSourceHolds(t *testing.T) {
	source, follower := newTestView(t), newTestView(t)
	syncViews(t, source, follower)
	assert.Equal(t, len(follower.Members()), 0)
	assert.NilError(t, source.replicaOf(MemberKind).apply(replica.Delta{Reset: true, Revision: 5, Changes: []replica.Change{memberChange("a", 4), memberChange("b", 5)}}))
	syncViews(t, source, follower)
	assert.Equal(t, len(follower.Members()), 2)
	assert.DeepEqual(t, follower.Members()[0], Member{Name: "a", Address: "10.0.0.1:7000", Incarnation: "i-a", Zone: "z1", LinkMbps: 20, Revision: 4})
	gone := memberChange("a", 7)
	gone.Deleted = true
	assert.NilError(t, source.replicaOf(MemberKind).apply(replica.Delta{After: 5, Revision: 7, Changes: []replica.Change{gone}}))
	syncViews(t, source, follower)
	assert.Equal(t, len(follower.Members()), 1)
	deltas, _, _ := source.DeltasSince(follower.Positions())
	assert.Equal(t, len(deltas), 0, "nothing is sent twice")
}

func TestUnknownKindsAreIgnored(t *testing.T) {
	v := newTestView(t)
	assert.NilError(t, v.ApplyDelta(KindDelta{Kind: "unheard-of", Delta: replica.Delta{Reset: true, Revision: 3}}))
	deltas, _, _ := v.DeltasSince([]Position{{Kind: "unheard-of", Position: replica.Empty}})
	assert.Equal(t, len(deltas), 0)
}

// TestProofIsNeverReplacedByAnOlderProof covers proofs of two sources, which may arrive in any
// order.
func TestProofIsNeverReplacedByAnOlderProof(t *testing.T) {
	v := newTestView(t)
	_, known := v.Proof()
	assert.Assert(t, !known)
	v.Confirm(Proof{At: 9 * time.Second, Hops: 1, From: "g1"})
	v.Confirm(Proof{At: 8 * time.Second, From: FromStore})
	newest, _ := v.Proof()
	assert.DeepEqual(t, newest, Proof{At: 9 * time.Second, Standing: era.Settled, Hops: 1, From: "g1"})
}

func TestFollowersAreNotifiedOfChangesAndProofs(t *testing.T) {
	v := newTestView(t)
	changed := v.Changed()
	assert.NilError(t, v.replicaOf(document.UpstreamKind).apply(replica.Delta{Reset: true, Revision: 1}))
	<-changed
	changed = v.Changed()
	v.Confirm(Proof{At: time.Second})
	<-changed
}
