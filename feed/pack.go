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

// packFrom is the size from which an update is compressed: a change of one workspace
// or host is smaller, and gains little.
const packFrom = 2 << 10

// maxUnpackedBytes bounds what a packed update may grow to. An update that is not
// packed is bounded by drpc to as much.
const maxUnpackedBytes = 4 << 20

// compressors are kept for the next update, as a new one takes 800 KB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// pack returns the update as it is sent: compressed, if it is large and gets
// smaller by it.
func pack(update *wirepb.FleetUpdate) (*wirepb.FleetUpdate, error) {
	if proto.Size(update) < packFrom {
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

// compress returns the data compressed.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// A buffer takes every write.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the update that peer sent. An update that is not a whole packed
// one within the bound is refused as Invalid.
func unpack(update *wirepb.FleetUpdate, peer string) (*wirepb.FleetUpdate, error) {
	if len(update.GetPacked()) == 0 {
		return update, nil
	}
	data, err := expand(update.GetPacked())
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "feed.unpack", peer, err)
	}
	if len(data) > maxUnpackedBytes {
		return nil, fault.New(fault.Invalid, "feed.unpack", peer, "the update grows beyond %d bytes", maxUnpackedBytes)
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

// expand returns the compressed data, at most one byte more than the bound.
func expand(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
}
