package config

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"acaciawinch/core/fault"
)

// hashBytes is how much of a SHA-256 names a part. 128 bits keep the head short,
// and two different parts of one name are not to be feared.
const hashBytes = 16

// Part is the immutable value of one object, named by its content.
type Part struct {
	Hash string
	Data []byte
}

// newPart names data by its hash.
func newPart(data []byte) Part {
	sum := sha256.Sum256(data)
	return Part{Hash: hex.EncodeToString(sum[:hashBytes]), Data: data}
}

// encode returns the canonical JSON of a value of this package: fields in their
// order of declaration, no maps, so equal values have equal bytes.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // No type of this package can fail to marshal.
	}
	return data
}

// Canonical returns a copy with everything in order of name, and each drained
// upstream once.
func (t Templates) Canonical() Templates {
	drained := slices.Clone(t.Drained)
	slices.Sort(drained)
	return Templates{
		Templates: sortedBy(t.Templates, func(x Template) string { return x.Name }),
		Models:    sortedBy(t.Models, Model.Key),
		Drained:   slices.Compact(drained),
	}
}

// Key identifies a model version on a service.
func (m Model) Key() string { return m.Name + "@" + m.Version + " on " + m.Service }

// sortedBy returns a copy in order of key.
func sortedBy[T any](values []T, key func(T) string) []T {
	sorted := slices.Clone(values)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}

// workspaceName returns a workspace's key.
func workspaceName(w Workspace) string { return w.Name }

// encodeTemplates returns the part of the templates, which must be canonical.
func encodeTemplates(t Templates) Part { return newPart(encode(t)) }

// encodeShard returns the part of workspaces in order of name, or an empty Part
// if there are none.
func encodeShard(workspaces []Workspace) Part {
	if len(workspaces) == 0 {
		return Part{}
	}
	return newPart(encode(workspaces))
}

// decodePart reads a part's object value, whose data must have the given hash.
func decodePart(hash string, value []byte, dst any) error {
	data, err := expand(value)
	if err != nil {
		return fault.Wrap(fault.Invalid, "config.part", PartKey(hash), err)
	}
	if newPart(data).Hash != hash {
		return fault.New(fault.Invalid, "config.part", PartKey(hash), "the content has another hash")
	}
	return fault.Wrap(fault.Invalid, "config.part", PartKey(hash), json.Unmarshal(data, dst))
}

// compressors are kept for the next part, as a new one takes 800 KB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Encode returns the part's object value: its data, compressed. Each change
// brings a part to every relay, and workspaces are much alike. The name is the
// hash of the data itself, so that it does not depend on the compressor.
func (p Part) Encode() []byte {
	var value bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&value)
	// A buffer takes every write.
	_, _ = w.Write(p.Data)
	_ = w.Close()
	return value.Bytes()
}

// gzipMagic begins a compressed value. No JSON begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPartBytes bounds what a compressed value may grow to.
const maxPartBytes = 4 * MaxShardBytes

// expand returns the data of a part's object value. Values that are not
// compressed stand for themselves.
func expand(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxPartBytes))
}
