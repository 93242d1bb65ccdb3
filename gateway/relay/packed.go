package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core/fault"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// Sizes of packed lists.
const (
	// pieceBytes is the most of one message: at 20 Mbit/s, shared by 24 followers, one takes
	// 0.3 s, so that a follower hears something well within the time in which a source may be
	// silent.
	pieceBytes = 32 << 10
	// plainBytes is the most that goes unpacked: below it packing saves little.
	plainBytes = 4 << 10
	// longestList bounds what an unpacked list may be: 64 times the 1 MB of the largest
	// object.
	longestList = 64 << 20
)

// packer keeps the packed changes that were made last, one for each kind: all followers that
// are up to date get the same, and so does a whole zone that starts. It may be used by many
// goroutines.
type packer struct {
	mu   sync.Mutex
	made map[string]packedChanges
}

// packedChanges are the changes between two revisions, packed.
type packedChanges struct {
	reset           bool
	after, revision int64
	content         []byte
}

// holds tells whether these are the changes of a delta.
func (c packedChanges) holds(d view.KindDelta) bool {
	return c.reset == d.Reset && c.after == d.After && c.revision == d.Revision
}

// newPacker returns a packer that has made nothing.
func newPacker() *packer { return &packer{made: make(map[string]packedChanges)} }

// isLong tells whether changes are worth packing.
func isLong(d view.KindDelta) bool {
	size := 0
	for _, change := range d.Changes {
		size += len(change.Object.Name) + len(change.Object.Spec)
	}
	return size > plainBytes
}

// pieces returns the messages that carry long changes. Packed, entries of upstreams take a
// sixth of their size or less, so that a whole zone that starts at once has its lists from one
// source with a narrow link within a second or two.
func (p *packer) pieces(d view.KindDelta) ([]*wirepb.FollowDelta, error) {
	content, err := p.pack(d)
	if err != nil {
		return nil, err
	}
	var list []*wirepb.FollowDelta
	for {
		size := min(len(content), pieceBytes)
		m := &wirepb.FollowDelta{Kind: d.Kind, Reset_: d.Reset, After: d.After, Revision: d.Revision, Piece: content[:size], More: size < len(content)}
		list = append(list, m)
		content = content[size:]
		if !m.More {
			return list, nil
		}
	}
}

// pack returns the packed changes.
func (p *packer) pack(d view.KindDelta) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if made, known := p.made[d.Kind]; known && made.holds(d) {
		return made.content, nil
	}
	plain, err := proto.Marshal(&wirepb.FollowChanges{Changes: changeMessages(d.Changes)})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	if _, err = writer.Write(plain); err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	p.made[d.Kind] = packedChanges{reset: d.Reset, after: d.After, revision: d.Revision, content: packed.Bytes()}
	return packed.Bytes(), nil
}

// unpack returns the changes of pieces that were put together.
func unpack(content []byte) ([]*wirepb.FollowChange, error) {
	reader := flate.NewReader(bytes.NewReader(content))
	plain, err := io.ReadAll(io.LimitReader(reader, longestList+1))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "relay.unpack", "", err)
	}
	if len(plain) > longestList {
		return nil, fault.New(fault.Invalid, "relay.unpack", "", "a list of more than %d bytes", longestList)
	}
	var list wirepb.FollowChanges
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, fault.Wrap(fault.Invalid, "relay.unpack", "", err)
	}
	return list.GetChanges(), nil
}

// gatherer puts the pieces of lists together. It is not safe for concurrent use.
type gatherer struct {
	parts map[string][]byte
}

// newGatherer returns a gatherer without pieces.
func newGatherer() *gatherer { return &gatherer{parts: make(map[string][]byte)} }

// take takes one message and returns the delta that it completes, and whether it does.
func (g *gatherer) take(m *wirepb.FollowDelta) (view.KindDelta, bool, error) {
	if len(m.GetPiece()) == 0 {
		return deltaOf(m, m.GetChanges()), true, nil
	}
	whole := append(g.parts[m.GetKind()], m.GetPiece()...)
	if len(whole) > longestList {
		return view.KindDelta{}, false, fault.New(fault.Invalid, "relay.gather", "", "pieces of more than %d bytes", longestList)
	}
	if m.GetMore() {
		g.parts[m.GetKind()] = whole
		return view.KindDelta{}, false, nil
	}
	delete(g.parts, m.GetKind())
	changes, err := unpack(whole)
	if err != nil {
		return view.KindDelta{}, false, err
	}
	return deltaOf(m, changes), true, nil
}
