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

// hashBytes is how many bytes of the SHA-256 identify a part. 128 bits keep the
// head short and make a collision of two different parts negligible.
const hashBytes = 16

// Part is the immutable value of one content-addressed object.
type Part struct {
	Hash string
	Data []byte
}

// newPart returns the part with the given data and its hash.
func newPart(data []byte) Part {
	sum := sha256.Sum256(data)
	return Part{Hash: hex.EncodeToString(sum[:hashBytes]), Data: data}
}

// encode returns the canonical JSON of a value of this package. Its types have no
// maps and their fields are encoded in order of declaration, so equal values have
// equal bytes.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // every type of this package can be marshaled
	}
	return data
}

// Canonical returns a copy that is sorted by key and lists each drained upstream
// once.
func (t Templates) Canonical() Templates {
	drained := slices.Clone(t.Drained)
	slices.Sort(drained)
	return Templates{
		Templates: sortedBy(t.Templates, func(x Template) string { return x.Name }),
		Models:    sortedBy(t.Models, Model.Key),
		Drained:   slices.Compact(drained),
	}
}

// Key returns the identifier of a model version on a service.
func (m Model) Key() string { return m.Name + "@" + m.Version + " on " + m.Service }

// sortedBy returns a copy of values sorted by key.
func sortedBy[T any](values []T, key func(T) string) []T {
	sorted := slices.Clone(values)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}

// workspaceName returns the key by which workspaces are sorted.
func workspaceName(w Workspace) string { return w.Name }

// encodeTemplates returns the part that holds the templates, which must be canonical.
func encodeTemplates(t Templates) Part { return newPart(encode(t)) }

// encodeShard returns the part that holds the workspaces, which must be sorted by
// name, or an empty Part if there are none.
func encodeShard(workspaces []Workspace) Part {
	if len(workspaces) == 0 {
		return Part{}
	}
	return newPart(encode(workspaces))
}

// decodePart decodes a part's object value into dst. The decompressed data must
// have the given hash.
func decodePart(hash string, value []byte, dst any) error {
	data, err := decompress(value)
	if err != nil {
		return fault.Wrap(fault.Invalid, "config.part", PartKey(hash), err)
	}
	if newPart(data).Hash != hash {
		return fault.New(fault.Invalid, "config.part", PartKey(hash), "the content does not match its hash")
	}
	return fault.Wrap(fault.Invalid, "config.part", PartKey(hash), json.Unmarshal(data, dst))
}

// gzipWriters are reused, as each new one allocates 800 KB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Encode returns the part's object value: its data, compressed, because each change
// sends a part to every relay and workspaces resemble each other. The hash is that
// of the uncompressed data, so that it does not depend on the compressor.
func (p Part) Encode() []byte {
	var value bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&value)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(p.Data)
	_ = w.Close()
	return value.Bytes()
}

// gzipMagic is the prefix of a compressed value. No JSON text begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPartBytes bounds the size of a decompressed value.
const maxPartBytes = 4 * MaxShardBytes

// decompress returns the data of a part's object value. A value that is not
// compressed is returned as it is.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxPartBytes))
}
