package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// Sizes of compressed lists.
const (
	// maxPieceBytes bounds the piece in one message. At 20 Mbit/s, shared by 24 followers, a
	// piece takes 0.3 s, so that a follower receives something well before it gives up its
	// source as silent.
	maxPieceBytes = 32 << 10
	// maxUncompressedBytes is the size up to which changes are sent uncompressed: compression
	// saves little below it.
	maxUncompressedBytes = 4 << 10
	// maxListBytes bounds a decompressed list: 64 times the 1 MB of the largest object.
	maxListBytes = 64 << 20
)

// compressor compresses changes. It keeps the last compressed changes of each kind, since all
// followers that are up to date get the same changes, and so do the gateways of a zone that start
// together. It is safe for concurrent use.
type compressor struct {
	mu   sync.Mutex
	last map[string]compressedChanges
}

// compressedChanges holds the compressed changes between two revisions of an era.
type compressedChanges struct {
	reset                bool
	era, after, revision int64
	content              []byte
}

// matches reports whether c holds the changes of a delta.
func (c compressedChanges) matches(d view.KindDelta) bool {
	return c.reset == d.Reset && c.era == d.Era && c.after == d.After && c.revision == d.Revision
}

// newCompressor returns a compressor that keeps nothing yet.
func newCompressor() *compressor { return &compressor{last: make(map[string]compressedChanges)} }

// worthCompressing reports whether changes are large enough to be compressed.
func worthCompressing(d view.KindDelta) bool {
	size := 0
	for _, change := range d.Changes {
		size += len(change.Object.Name) + len(change.Object.Spec)
	}
	return size > maxUncompressedBytes
}

// pieces returns the messages that carry compressed changes, each with one piece of them.
// Compression shrinks entries of upstreams to a sixth of their size or less, so that one source
// with a slow link can send its lists to a whole zone that starts at once within a second or two.
func (c *compressor) pieces(d view.KindDelta) ([]*wirepb.FollowDelta, error) {
	content, err := c.compress(d)
	if err != nil {
		return nil, err
	}
	var list []*wirepb.FollowDelta
	for {
		size := min(len(content), maxPieceBytes)
		m := &wirepb.FollowDelta{Kind: d.Kind, Reset_: d.Reset, Era: d.Era, After: d.After, Revision: d.Revision, Piece: content[:size], More: size < len(content)}
		list = append(list, m)
		content = content[size:]
		if !m.More {
			return list, nil
		}
	}
}

// compress returns the compressed changes of a delta.
func (c *compressor) compress(d view.KindDelta) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, known := c.last[d.Kind]; known && cached.matches(d) {
		return cached.content, nil
	}
	plain, err := proto.Marshal(&wirepb.FollowChanges{Changes: changeMessages(d.Changes)})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	if _, err = writer.Write(plain); err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "relay.pack", "", err)
	}
	c.last[d.Kind] = compressedChanges{reset: d.Reset, era: d.Era, after: d.After, revision: d.Revision, content: compressed.Bytes()}
	return compressed.Bytes(), nil
}

// decompress returns the changes in the joined pieces.
func decompress(content []byte, room *memory.Reservation) ([]*wirepb.FollowChange, error) {
	reader := flate.NewReader(bytes.NewReader(content))
	plain, err := memory.ReadAll(room, io.LimitReader(reader, maxListBytes+1), -1)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "relay.unpack", "", err)
	}
	if len(plain) > maxListBytes {
		return nil, fault.New(fault.Invalid, "relay.unpack", "", "unpacked list exceeds %d bytes", maxListBytes)
	}
	var list wirepb.FollowChanges
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, fault.Wrap(fault.Invalid, "relay.unpack", "", err)
	}
	return list.GetChanges(), nil
}

// assembler joins the pieces of lists. It is not safe for concurrent use.
type assembler struct {
	// joined holds the pieces received so far of each kind.
	joined map[string][]byte
	// budget bounds the pieces and the lists in them; nil sets no bound. room is the memory of the pieces.
	budget *memory.Budget
	room   *memory.Reservation
}

// newAssembler returns an assembler without pieces.
func newAssembler() *assembler { return &assembler{joined: make(map[string][]byte)} }

// useMemory makes the assembler reserve the memory of pieces and lists in a budget. It must be called before add.
func (a *assembler) useMemory(budget *memory.Budget) {
	a.budget, a.room = budget, budget.Begin(memory.State)
}

// close releases the memory of the pieces.
func (a *assembler) close() { a.room.Release() }

// add adds one message. If the message completes a delta, add returns the delta and true.
func (a *assembler) add(m *wirepb.FollowDelta) (view.KindDelta, bool, error) {
	if len(m.GetPiece()) == 0 {
		return deltaOf(m, m.GetChanges()), true, nil
	}
	if err := a.room.Grow(int64(len(m.GetPiece()))); err != nil {
		return view.KindDelta{}, false, err
	}
	joined := append(a.joined[m.GetKind()], m.GetPiece()...)
	if len(joined) > maxListBytes {
		return view.KindDelta{}, false, fault.New(fault.Invalid, "relay.gather", "", "pieces exceed %d bytes", maxListBytes)
	}
	if m.GetMore() {
		a.joined[m.GetKind()] = joined
		return view.KindDelta{}, false, nil
	}
	delete(a.joined, m.GetKind())
	defer a.room.Shrink(int64(len(joined)))
	list := a.budget.Begin(memory.State)
	defer list.Release()
	changes, err := decompress(joined, list)
	if err != nil {
		return view.KindDelta{}, false, err
	}
	return deltaOf(m, changes), true, nil
}
