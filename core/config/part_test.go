package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// similarWorkspaces returns a part of workspaces that differ only by name.
func similarWorkspaces(count int) Part {
	var all []Workspace
	for i := range count {
		all = append(all, Workspace{Name: fmt.Sprintf("w-%03d", i), Pipelines: []string{"p"}, Weight: 1})
	}
	return encodeShard(all)
}

func TestPartIsStoredCompressed(t *testing.T) {
	part := similarWorkspaces(100)
	value := part.Encode()
	assert.Assert(t, 4*len(value) < len(part.Data), "%d of %d bytes", len(value), len(part.Data))
	var got, plain []Workspace
	assert.NilError(t, decodePart(part.Hash, value, &got))
	assert.NilError(t, decodePart(part.Hash, part.Data, &plain), "parts written by earlier versions are not compressed")
	assert.Equal(t, len(got), 100)
	assert.DeepEqual(t, got, plain)
}

func TestPartWithOtherContentThanItsHashIsRejected(t *testing.T) {
	part, other := similarWorkspaces(3), similarWorkspaces(4)
	var got []Workspace
	assert.ErrorContains(t, decodePart(part.Hash, other.Encode(), &got), "does not match its hash")
	value := part.Encode()
	assert.Assert(t, decodePart(part.Hash, value[:len(value)-9], &got) != nil, "a truncated value was accepted")
	value[len(value)/2] ^= 0xff
	assert.Assert(t, decodePart(part.Hash, value, &got) != nil, "a corrupted value was accepted")
}
