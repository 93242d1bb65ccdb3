package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/entry/claims"
)

// TestOnlyAnotherRequestsClaimIsSeen when the store does not answer: a request
// whose own attempt was refused has run nothing.
func TestOnlyAnotherRequestsClaimIsSeen(t *testing.T) {
	seen := func(holder core.RequestID) bool {
		held := claims.Held{
			Status: claims.Unavailable,
			Claim:  claims.Claim{Record: claim.Record{Request: holder}},
		}
		return claimedOf("own", 1, held, nil).Seen
	}
	assert.Assert(t, !seen("own"))
	assert.Assert(t, seen("other"))
	assert.Assert(t, !seen(""))
}
