package gatewaytest

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// TestARequestThatCannotEndInTimeRunsNoStage guards against stages that run for a request whose later
// stages can't end before its deadline. The clients that are refused together are told to return at
// different times, and no later than they would return anyway: after a third of their 5 s.
func TestARequestThatCannotEndInTimeRunsNoStage(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	document := baseConfig(1)
	document.Services[2].Pieces.CallMS = 2600 // of two stages, one after the other
	f.apply(document)
	g := f.start("g1")
	told := make(map[float64]bool)
	for _, id := range []string{"r1", "r2"} {
		got := f.send(g, id, "POST", "/stream/x", "p", "X-Pieces", "1,1", "X-Piece-Key", "k")
		assert.Equal(t, got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0 && after < 1.67, "%v", after)
		told[after] = true
	}
	assert.Equal(t, len(told), 2, "%v", told)
	refused := f.waitLines(2, "request_not_admitted")
	assert.Equal(t, logField(t, refused[0], "shortest_ms"), 5202.0)
	assert.Equal(t, len(enc.Batches()), 0)

	single := f.send(g, "r3", "POST", "/stream/x", "p", "X-Pieces", "1,0", "X-Piece-Key", "k")
	assert.Equal(t, single.status, 200, "one stage ends in time")
}
