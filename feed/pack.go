package feed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core/fault"
	"acaciawinch/wire/wirepb"
)

// minPackBytes is the size from which an update is compressed. A change of one
// workspace or host is smaller and gains little.
const minPackBytes = 2 << 10

// maxUnpackedBytes bounds the size of a packed update after decompression. It is
// drpc's bound for an update that is not packed.
const maxUnpackedBytes = 4 << 20

// compressors are pooled, since a new one allocates 800 KB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// pack returns the update as it is sent: compressed if it is large and compression
// makes it smaller.
func pack(update *wirepb.FleetUpdate) (*wirepb.FleetUpdate, error) {
	if proto.Size(update) < minPackBytes {
		return update, nil
	}
	data, err := proto.Marshal(update)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "feed.pack", "", err)
	}
	if packed := compress(data); len(packed) < len(data) {
		return &wirepb.FleetUpdate{Packed: packed}, nil
	}
	return update, nil
}

// compress returns data compressed with gzip.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the update that peer sent, decompressed if it is packed. A packed
// update that is incomplete, damaged, too large or packed twice is refused as Invalid.
func unpack(update *wirepb.FleetUpdate, peer string) (*wirepb.FleetUpdate, error) {
	if len(update.GetPacked()) == 0 {
		return update, nil
	}
	data, err := decompress(update.GetPacked())
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "feed.unpack", peer, err)
	}
	if len(data) > maxUnpackedBytes {
		return nil, fault.New(fault.Invalid, "feed.unpack", peer, "the update exceeds %d bytes when decompressed", maxUnpackedBytes)
	}
	var inner wirepb.FleetUpdate
	if err := proto.Unmarshal(data, &inner); err != nil {
		return nil, fault.Wrap(fault.Invalid, "feed.unpack", peer, err)
	}
	if len(inner.GetPacked()) > 0 {
		return nil, fault.New(fault.Invalid, "feed.unpack", peer, "the update is packed twice")
	}
	return &inner, nil
}

// decompress returns the data that compress returned as packed. It reads at most one byte more than maxUnpackedBytes, so
// that the caller can detect a larger update.
func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
}
