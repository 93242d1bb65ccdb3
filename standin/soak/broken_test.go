package soak

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestASeedGivesTheSameBrokenSteps(t *testing.T) {
	assert.DeepEqual(t, planBroken(7, 30), planBroken(7, 30))
	kinds := make(map[Kind]int)
	for _, step := range planBroken(7, 30) {
		kinds[step.Kind]++
	}
	assert.Assert(t, len(kinds) == 3 && kinds[BreakHeads] > 0 && kinds[BreakUploads] > 0 && kinds[OddEntry] > 0)
}

// TestAStatusThatIsNoneIsFound checks the judgement of statuses.
func TestAStatusThatIsNoneIsFound(t *testing.T) {
	for status, broken := range map[int]bool{1: true, 99: true, http.StatusSwitchingProtocols: true, 199: true, 600: true, 999: true, 502: false, 599: false, 0: false} {
		found := (&evidence{}).judge(Outcome{ID: "c1-1", Route: safeRoute, Status: status})
		assert.Equal(t, found != "", broken, "%d: %s", status, found)
	}
}

// TestAPartOfAResponseToAnUploadIsFound checks the judgement of uploads.
func TestAPartOfAResponseToAnUploadIsFound(t *testing.T) {
	o := Outcome{ID: "probe-upload-1-2", Route: unsafeRoute}
	whole := wholeBody(o)
	assert.Assert(t, isWholeUpload(o, whole, true) && isWholeUpload(o, whole, false))
	assert.Assert(t, isWholeUpload(o, whole[:len(whole)/2], false), "nothing tells")
	assert.Assert(t, !isWholeUpload(o, whole[:len(whole)/2], true))
	assert.Assert(t, !isWholeUpload(o, "answer", false) && !isWholeUpload(o, "", false) && !isWholeUpload(o, "answer of others", false))
}
