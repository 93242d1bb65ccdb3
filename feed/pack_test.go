package feed

import (
	"bytes"
	"compress/gzip"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/wire/wirepb"
)

func TestAnUpdateArrivesAsItWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := &wirepb.HostsUpdate{Version: rapid.Uint64().Draw(t, "version")}
		data := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "data")
		for range rapid.IntRange(0, 40).Draw(t, "hosts") {
			hosts.Hosts = append(hosts.Hosts, data)
		}
		update := &wirepb.FleetUpdate{Hosts: hosts}
		packed, err := pack(update)
		assert.NilError(t, err)
		assert.Assert(t, proto.Size(packed) <= proto.Size(update))
		assert.Assert(t, proto.Size(update) >= minPackBytes || packed == update)
		unpacked, err := unpack(packed, "e0")
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(unpacked, update))
	})
}

func TestAnIncompressibleUpdateIsSentUnpacked(t *testing.T) {
	noise := make([]byte, 2*minPackBytes)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(noise)
	update := &wirepb.FleetUpdate{Hosts: &wirepb.HostsUpdate{Hosts: [][]byte{noise}}}
	packed, err := pack(update)
	assert.NilError(t, err)
	assert.Equal(t, packed, update)
}

// marshal returns an encoded update.
func marshal(t *testing.T, update *wirepb.FleetUpdate) []byte {
	t.Helper()
	data, err := proto.Marshal(update)
	assert.NilError(t, err)
	return data
}

// corruptChecksum returns data compressed with gzip, with a wrong checksum.
func corruptChecksum(data []byte) []byte {
	packed := compress(data)
	packed[len(packed)-5] ^= 1
	return packed
}

// gzipBomb returns a small value that decompresses to one byte more than maxUnpackedBytes.
func gzipBomb() []byte {
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestCompression)
	_, _ = w.Write(make([]byte, maxUnpackedBytes+1))
	_ = w.Close()
	return out.Bytes()
}

func TestABadPackedUpdateIsRefusedAndKeepsTheState(t *testing.T) {
	newer := config.Empty().Change(workspaces(50, 2), 2, "")
	parts, err := encodeDelta(config.Diff(nil, newer))
	assert.NilError(t, err)
	good := marshal(t, &wirepb.FleetUpdate{Config: parts[0]})
	packed := compress(good)
	for name, c := range map[string]struct {
		packed []byte
		want   string
	}{
		"no gzip":       {good, "invalid header"},
		"cut":           {packed[:len(packed)-1], "unexpected EOF"},
		"another sum":   {corruptChecksum(good), "invalid checksum"},
		"beyond bounds": {gzipBomb(), "exceeds 4194304 bytes"},
		"no update":     {compress([]byte("not a message")), "proto"},
		"packed twice":  {compress(marshal(t, &wirepb.FleetUpdate{Packed: packed})), "packed twice"},
	} {
		feed := newStaleFeed("e1", config.Empty().Change(workspaces(1, 1), 1, ""))
		r := &receiver{feed: feed, host: fleet.Host{Name: "e0"}}

		err := r.handle(&wirepb.FleetUpdate{Packed: c.packed})

		assert.Equal(t, fault.CodeOf(err), fault.Invalid, name)
		assert.ErrorContains(t, err, "feed.unpack with e0", name)
		assert.ErrorContains(t, err, c.want, name)
		assert.Equal(t, uint64(feed.State().Revision), uint64(1), name)
	}
	feed := newStaleFeed("e1", config.Empty().Change(workspaces(1, 1), 1, ""))
	r := &receiver{feed: feed, host: fleet.Host{Name: "e0"}}
	assert.NilError(t, r.handle(&wirepb.FleetUpdate{Packed: packed}))
	assert.Equal(t, uint64(feed.State().Revision), uint64(2))
}

func TestASubscriberLeavesAnEntryThatSendsInvalidUpdates(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.change(workspaces(5, 1))
	requested := make(chan struct{}, 100)
	invalid := &node{handler: func(_ *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
		requested <- struct{}{}
		return stream.Send(&wirepb.FleetUpdate{Packed: []byte("no gzip")})
	}}
	f.serve(invalid, f.prepareEntry("e0", "z0"))
	f.awaitRevision(1, f.start("e1", "z1", fleet.RoleEntry))
	sidecar := f.start("s0", "z0", fleet.RoleUpstream)
	<-requested
	f.awaitRevision(1, sidecar)
	revision := f.change(config.Change{Drain: []string{"u"}})
	f.awaitRevision(revision, sidecar)
}

func TestAFullStateAndAWholeHostListAreSentCompressed(t *testing.T) {
	var list fleet.List
	for _, w := range largeWorkspaces().PutWorkspaces[:1440] {
		list.Hosts = append(list.Hosts, fleet.Host{Name: w.Name, Zone: "z0", Addr: "127.0.0.1:9"})
	}
	list.Version = 2
	feed := newStaleFeed("e0", config.Empty().Change(largeWorkspaces(), 1, ""))
	feed.applyHosts(list, "test")
	s := &session{feed: feed}

	updates, err := s.missingUpdates(feed.State())

	assert.NilError(t, err)
	sent, unpackedSize := 0, 0
	for _, update := range updates {
		assert.Assert(t, len(update.GetPacked()) > 0)
		unpacked, err := unpack(update, "e0")
		assert.NilError(t, err)
		sent, unpackedSize = sent+proto.Size(update), unpackedSize+proto.Size(unpacked)
	}
	assert.Assert(t, len(updates) > 2)
	assert.Assert(t, sent < unpackedSize/10, "%d of %d bytes", sent, unpackedSize)
}
