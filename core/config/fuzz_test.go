package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// FuzzHead reads values that stand where a head should. What is read comes back
// from its own encoding.
func FuzzHead(f *testing.F) {
	f.Add(Empty().Head("", "author", "note").Encode())
	f.Add([]byte(`{"revision":-1,"shards":[]}`))
	f.Add([]byte(`{"shards":null}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err != nil {
			assert.Equal(t, fault.CodeOf(err), fault.Invalid)
			return
		}
		again, err := DecodeHead(head.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, head)
		snapshot := Outline(head, Empty())
		assert.Assert(t, len(snapshot.Missing()) <= 1+ShardCount)
	})
}

// FuzzPart reads values that stand where a part should, by the name that their
// content has, so that they are decoded.
func FuzzPart(f *testing.F) {
	sound := NewSnapshot(1, "c", Templates{Drained: []string{"u"}}, []Workspace{{Name: "w", Weight: 1}})
	for _, part := range sound.PartsSince(Empty()) {
		f.Add(part.Data)
		f.Add(part.Encode())
	}
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Add([]byte(`[{"name":"w","weight":1e400}]`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, value []byte) {
		head := Empty().Head("", "", "")
		data, err := expand(value)
		if err != nil {
			data = value
		}
		part := newPart(data)
		head.Templates, head.Shards[3] = part.Hash, part.Hash
		outline := Outline(head, nil)
		loaded, err := outline.WithPart(part.Hash, value)
		if err != nil {
			assert.Equal(t, fault.CodeOf(err), fault.Invalid)
			return
		}
		assert.Equal(t, len(loaded.Missing()), 0)
		loaded.Validate()
		loaded.Digest()
		Between(nil, loaded)
	})
}
