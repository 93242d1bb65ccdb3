package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// FuzzHead decodes arbitrary values as heads. A head that decodes must survive an
// encoding round trip.
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
		decoded, err := DecodeHead(head.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, head)
		snapshot := NewUnloaded(head, Empty())
		assert.Assert(t, len(snapshot.Missing()) <= 1+ShardCount)
	})
}

// FuzzPart loads arbitrary values as parts. Each is loaded under the hash of its
// own content, so that it passes the hash check and is decoded.
func FuzzPart(f *testing.F) {
	valid := NewSnapshot(1, "c", Templates{Drained: []string{"u"}}, []Workspace{{Name: "w", Weight: 1}})
	for _, part := range valid.PartsSince(Empty()) {
		f.Add(part.Data)
		f.Add(part.Encode())
	}
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Add([]byte(`[{"name":"w","weight":1e400}]`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, value []byte) {
		head := Empty().Head("", "", "")
		data, err := decompress(value)
		if err != nil {
			data = value
		}
		part := newPart(data)
		head.Templates, head.Shards[3] = part.Hash, part.Hash
		unloaded := NewUnloaded(head, nil)
		loaded, err := unloaded.WithPart(part.Hash, value)
		if err != nil {
			assert.Equal(t, fault.CodeOf(err), fault.Invalid)
			return
		}
		assert.Equal(t, len(loaded.Missing()), 0)
		loaded.Validate()
		loaded.Digest()
		Diff(nil, loaded)
	})
}
