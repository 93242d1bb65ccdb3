package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// drawConfiguration draws templates, drained upstreams and workspaces from a few
// names, so that two drawn configurations have many names in common.
func drawConfiguration(t *rapid.T, revision core.Revision) *Snapshot {
	var templates Templates
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "templates") {
		templates.Templates = append(templates.Templates, Template{Name: name, DeadlineMS: rapid.IntRange(1, 2).Draw(t, "deadline")})
	}
	templates.Drained = rapid.SliceOfN(rapid.SampledFrom([]string{"u", "v"}), 0, 3).Draw(t, "drained")
	var workspaces []Workspace
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 0, 30, rapid.ID).Draw(t, "workspaces") {
		workspaces = append(workspaces, Workspace{Name: fmt.Sprint("w", i), Weight: rapid.IntRange(1, 2).Draw(t, "weight")})
	}
	return NewSnapshot(revision, fmt.Sprint("change-", revision), templates, workspaces)
}

// jsonRoundTrip returns the delta as its receiver decodes it from JSON.
func jsonRoundTrip(t *rapid.T, d Delta) Delta {
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	var received Delta
	assert.NilError(t, json.Unmarshal(data, &received))
	return received
}

func TestADeltaLeadsToTheFullState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfiguration(t, 1), drawConfiguration(t, 2)
		delta, err := from.Apply(jsonRoundTrip(t, Diff(from, to)))
		assert.NilError(t, err)
		full, err := (*Snapshot)(nil).Apply(jsonRoundTrip(t, Diff(nil, to)))
		assert.NilError(t, err)
		assert.Equal(t, string(encode(delta.Head("", "", ""))), string(encode(to.Head("", "", ""))))
		assert.Equal(t, string(encode(full.Head("", "", ""))), string(encode(to.Head("", "", ""))))
		assert.Assert(t, Compare(delta, to).Empty())
	})
}

func TestADeltaToAnotherStateIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, other, to := drawConfiguration(t, 1), drawConfiguration(t, 1), drawConfiguration(t, 2)
		next, err := other.Apply(Diff(from, to))
		if err == nil {
			assert.Assert(t, Compare(next, to).Empty(), "a delta was applied to the wrong base, and the result was accepted")
			return
		}
		assert.Equal(t, fault.CodeOf(err), fault.Conflict)
	})
}

func TestAChangeFoundByCompareLeadsThere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfiguration(t, 1), drawConfiguration(t, 2)
		assert.Equal(t, from.Change(Compare(from, to), 2, "c").Digest(), to.Digest())
	})
}

func TestPartsAndHeadLeadToTheSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfiguration(t, 1), drawConfiguration(t, 2)
		head, err := DecodeHead(to.Head("p", "a", "n").Encode())
		assert.NilError(t, err)
		loaded := NewUnloaded(head, from)
		for _, part := range to.PartsSince(from) {
			next, err := loaded.WithPart(part.Hash, part.Data)
			if !fault.Is(err, fault.NotFound) {
				assert.NilError(t, err)
				loaded = next
			}
		}
		assert.Equal(t, len(loaded.Missing()), 0)
		assert.Assert(t, Compare(loaded, to).Empty())
		assert.Equal(t, loaded.Digest(), to.Digest())
	})
}

func TestAPartWithOtherBytesIsRefused(t *testing.T) {
	s := NewSnapshot(1, "c", validTemplates(), nil)
	unloaded := NewUnloaded(s.Head("", "", ""), Empty())
	_, err := unloaded.WithPart(unloaded.MissingTemplates(), []byte(`{"templates":null}`))
	assert.Equal(t, fault.CodeOf(err), fault.Invalid)
}

func TestSnapshotsShareUntouchedShards(t *testing.T) {
	s := NewSnapshot(1, "c", Templates{}, []Workspace{{Name: "a"}, {Name: "b"}})
	next := s.Change(Change{PutWorkspaces: []Workspace{{Name: "a", Weight: 2}}}, 2, "d")
	assert.Assert(t, s.shards[ShardOf("b")] == next.shards[ShardOf("b")])
	old, _ := s.Workspace("a")
	assert.Equal(t, old.Weight, 0)
}
