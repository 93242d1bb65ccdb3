package relay

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// listOf returns a list of a number of upstreams, with entries of realistic size.
func listOf(number int) view.KindDelta {
	d := view.KindDelta{Kind: "servers", Delta: replica.Delta{Reset: true, Revision: 9}}
	for i := range number {
		spec := fmt.Sprintf(`{"service":"xanym27a","address":"10.%d.64.%d:8123","zone":"sala-inaquito","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"born":1781461998%05d,"stage":"both"}`, i%5, i, i)
		d.Changes = append(d.Changes, replica.Change{Object: replica.Object{Name: fmt.Sprintf("i-%010x", i*7919), Revision: int64(i), Spec: json.RawMessage(spec)}})
	}
	return d
}

// assemble joins pieces to a list.
func assemble(t *testing.T, pieces []*wirepb.FollowDelta) view.KindDelta {
	t.Helper()
	a := newAssembler()
	for i, piece := range pieces {
		d, whole, err := a.add(piece)
		assert.NilError(t, err)
		assert.Equal(t, whole, i == len(pieces)-1)
		if whole {
			return d
		}
	}
	t.Fatal("the list is incomplete")
	return view.KindDelta{}
}

func TestALongListArrivesWholeInPieces(t *testing.T) {
	sent := listOf(3000)
	pieces, err := newCompressor().pieces(sent)
	assert.NilError(t, err)
	assert.Assert(t, len(pieces) > 1)
	size := 0
	for _, piece := range pieces {
		assert.Assert(t, len(piece.GetPiece()) <= maxPieceBytes)
		size += len(piece.GetPiece())
	}
	assert.DeepEqual(t, assemble(t, pieces), sent)
	assert.Assert(t, size < 150<<10, "%d bytes for the list of 3,000 upstreams", size)
}

func TestChangesAreCompressedOnceForFollowersAtTheSameRevision(t *testing.T) {
	c := newCompressor()
	first, err := c.compress(listOf(50))
	assert.NilError(t, err)
	again, err := c.compress(listOf(50))
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &again[0])
	other := listOf(50)
	other.Reset, other.After = false, 8
	apart, err := c.compress(other)
	assert.NilError(t, err)
	assert.Assert(t, &first[0] != &apart[0], "changes after another revision are compressed separately")
}

func TestPiecesThatCanNotBeDecompressedAreAnError(t *testing.T) {
	_, _, err := newAssembler().add(&wirepb.FollowDelta{Kind: "servers", Piece: []byte("no packed list")})
	assert.ErrorContains(t, err, "relay.unpack")
}

// FuzzPieces: no bytes from a peer crash the process or make it hold more than maxListBytes.
func FuzzPieces(f *testing.F) {
	pieces, err := newCompressor().pieces(listOf(20))
	assert.NilError(f, err)
	f.Add(pieces[0].GetPiece(), false)
	f.Add([]byte{0, 1, 2}, true)
	f.Fuzz(func(t *testing.T, piece []byte, more bool) {
		a := newAssembler()
		if _, whole, err := a.add(&wirepb.FollowDelta{Kind: "k", Piece: piece, More: more}); err == nil && !whole {
			assert.Assert(t, len(a.joined["k"]) <= maxListBytes)
		}
	})
}
