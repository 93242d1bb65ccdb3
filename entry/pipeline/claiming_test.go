package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/entry/claims"
)

// TestOnlyAnotherRequestsClaimIsSeen checks that a request does not take its own
// claim for that of another request with the same key. With the store unavailable
// it would otherwise not report not run after its own attempt was refused.
func TestOnlyAnotherRequestsClaimIsSeen(t *testing.T) {
	seen := func(holder core.RequestID) bool {
		verdict := claims.State{
			Status: claims.Unavailable,
			Claim:  claims.Claim{Record: claim.Record{Request: holder}},
		}
		return claimedEvent("own", 1, verdict, nil).MayHaveRun
	}
	assert.Assert(t, !seen("own"))
	assert.Assert(t, seen("other"))
	assert.Assert(t, !seen(""))
}
