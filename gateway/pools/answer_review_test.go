package pools

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreedResultsOfAnEarlierCallAreNotUsed: an answer may come twice after the results in it were freed,
// as it stands at the point where the answer to the next call is due.
func TestFreedResultsOfAnEarlierCallAreNotUsed(t *testing.T) {
	first := unframed(`{"items":[{"handle":"ADDRESS/1"}]}`)
	w := newRawWorker(first, first, unframed(`{"items":[{"handle":"ADDRESS/2"}]}`))
	s := newOwnerOf(t, w).Session(true)
	used := <-submit(s, 1, task("a"), nil)
	s.Free(task("a").Part, used.Handles)
	assert.DeepEqual(t, <-w.freed, used.Handles)
	other := <-submit(s, 2, task("b"), nil)
	assert.Assert(t, strings.HasSuffix(other.Handles[0], "/2"), "%q", other.Handles)
}
