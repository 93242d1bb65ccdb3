package relay

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// TestAListWithAMissingPieceIsNeverWhole: a list of which a piece is missing must not replace a copy.
func TestAListWithAMissingPieceIsNeverWhole(t *testing.T) {
	pieces, err := newCompressor().pieces(listOf(8000))
	assert.NilError(t, err)
	assert.Assert(t, len(pieces) > 2)
	for missing := range pieces {
		a := newAssembler()
		for i, piece := range pieces {
			if i == missing {
				continue
			}
			_, whole, err := a.add(piece)
			assert.Assert(t, !whole, "piece %d is missing", missing)
			if err != nil {
				break // the link ends
			}
		}
	}
}

// brokenStream is a stream to a follower that breaks after a number of messages.
type brokenStream struct {
	wirepb.DRPCFleet_FollowStream
	left int
	sent []*wirepb.FollowUpdate
}

// Send implements wirepb.DRPCFleet_FollowStream.
func (s *brokenStream) Send(m *wirepb.FollowUpdate) error {
	if s.left == 0 {
		return errors.New("the stream has broken")
	}
	s.left--
	s.sent = append(s.sent, m)
	return nil
}

// stateWithoutEras is the state of a process whose store has no eras.
type stateWithoutEras struct{ State }

// Era implements State.
func (stateWithoutEras) Era() int64 { return 0 }

// TestAProofFollowsAllPieces: a stream that ends between two pieces has confirmed nothing.
func TestAProofFollowsAllPieces(t *testing.T) {
	list := listOf(8000)
	pieces, err := newCompressor().pieces(list)
	assert.NilError(t, err)
	for left := range len(pieces) + 2 {
		stream := &brokenStream{left: left}
		s := &session{server: &Server{state: stateWithoutEras{}, compressor: newCompressor()}, stream: stream, positions: []view.Position{{Kind: "servers"}}}
		err := s.send([]view.KindDelta{list}, view.Proof{At: 1}, true, false)
		assert.Equal(t, err == nil, left > len(pieces))
		for i, m := range stream.sent {
			assert.Equal(t, m.GetProof() != nil, i == len(pieces))
		}
	}
}
